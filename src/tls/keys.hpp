// Makes the keys of a group: one that signs (group.key, kept by the operators), and one for each member.
#pragma once

#include <cstdint>
#include <string>

namespace oxbowspread::tls {

// Files are written beside their place and renamed into it: a reader sees the old pair or the new one, and
// never a key without its certificate for longer than the two renames. Keys get 0600. All throw
// std::runtime_error with the file at fault.

// FOLDER/group.key and group.crt (ECDSA P-256, self-signed). Refuses to replace a group that is there.
void MakeGroup(const std::string& folder, const std::string& group, int days);
// FOLDER/NAME.key and NAME.crt, signed by the group's key in the same folder. Replaces what is there: that is
// how a member's key is rotated. `lifetime_s` may be negative, for tests of what has expired.
void Issue(const std::string& folder, const std::string& name, std::int64_t lifetime_s);

}  // namespace oxbowspread::tls
