// Creates the keys and certificates of a group: the group's own key, which signs and which the operators
// keep, and one key for each member.
#pragma once

#include <cstdint>
#include <string>

namespace oxbowspread::tls {

// Both functions write the files under temporary names and rename them into place, so that a reader finds the
// old pair or the new one; key and certificate differ only between the two renames. Key files get mode 0600.
// Both throw std::runtime_error that names the file at fault.

// Writes FOLDER/group.key and FOLDER/group.crt (ECDSA P-256, self-signed), valid for `days`. Throws if the
// folder has a group key already.
void CreateGroupKey(const std::string& folder, const std::string& group, int days);
// Writes FOLDER/NAME.key and FOLDER/NAME.crt, signed by the group's key in the same folder. Existing files
// are replaced, which is how a member's key is rotated. `lifetime_s` may be negative, so that tests can have
// an expired certificate.
void IssueMemberKey(const std::string& folder, const std::string& name, std::int64_t lifetime_s);

}  // namespace oxbowspread::tls
