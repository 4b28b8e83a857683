// The tables and lines that oxbowctl prints, made from the agents' answers. The only input is the group file,
// whose version is compared with the agents' versions. A field that an answer lacks is shown as "-" and never
// makes these functions throw.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ctl/client.hpp"

namespace oxbowspread::ctl {

// Aligned columns; the first row is the header.
std::string Table(const std::vector<std::vector<std::string>>& rows);

// One entry for each instance of the group, whether or not its agent answered:
//   instance, agent, known, phase, held, asked, refused, version, wanted, pid, deaths, age_ms, fault
// If no state newer than `max_status_age_ms` is known, `known` is false and `phase` is "unknown".
control::Json StatusOf(const group::Group& group, const std::map<std::string, Response>& responses,
                       std::int64_t max_status_age_ms);
std::string StatusTable(const control::Json& status);
std::string AgentTable(const group::Group& group, const std::map<std::string, Response>& responses);

// One line such as "restart c3-7 running 2/5: n3 pausing (held back: ...)".
std::string ProgressLine(const control::Json& change_answer);
std::string ChangeTable(const control::Json& change_answer);
std::string PlanTable(const control::Json& plan);
std::string HistoryLine(const control::Json& entry);

}  // namespace oxbowspread::ctl
