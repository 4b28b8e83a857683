// Creates the keys and certificates of a group: the group's own key, which signs the members' certificates
// and is kept by the operators, and one key for each member.
#pragma once

#include <cstdint>
#include <string>

namespace oxbowspread::tls {

// Both functions write the files under temporary names and then rename them, so that no reader sees a partial
// file. Only between the two renames do the key and the certificate not match. Key files get mode 0600. Both
// functions throw std::runtime_error with the name of the file at fault.

// Writes FOLDER/group.key and FOLDER/group.crt (ECDSA P-256, self-signed), valid for `days`. Throws if the
// folder already has a group key.
void CreateGroupKey(const std::string& folder, const std::string& group, int days);
// Writes FOLDER/NAME.key and FOLDER/NAME.crt, signed by the group's key in the same folder. Existing files
// are replaced; this is how a member's key is rotated. `lifetime_s` may be negative, so that tests can create
// an expired certificate.
void IssueMemberKey(const std::string& folder, const std::string& name, std::int64_t lifetime_s);

}  // namespace oxbowspread::tls
