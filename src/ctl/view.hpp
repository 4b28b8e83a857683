// Formats the agents' answers as the tables and lines that oxbowctl prints. The only file read is the group
// file, whose version is compared with the agents' versions. A missing field of an answer is shown as "-" or
// left empty; it doesn't make these functions throw.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ctl/client.hpp"

namespace oxbowspread::ctl {

// Returns the rows as text with aligned columns; the first row is the header.
std::string Table(const std::vector<std::vector<std::string>>& rows);

// Returns one entry for each instance of the group, whether or not its agent answered. Fields of an entry:
//   instance, agent, known, phase, held, asked, refused, version, wanted, pid, deaths, age_ms, fault
// If no state newer than `max_status_age_ms` is known, `known` is false and `phase` is "unknown".
control::Json StatusOf(const group::Group& group, const std::map<std::string, Response>& responses,
                       std::int64_t max_status_age_ms);
std::string StatusTable(const control::Json& status);
std::string AgentTable(const group::Group& group, const std::map<std::string, Response>& responses);

// The progress of a change as one line, such as "restart c3-7 running 2/5: n3 pausing (blocked: ...)".
std::string ProgressLine(const control::Json& change_answer);
std::string ChangeTable(const control::Json& change_answer);
std::string PlanTable(const control::Json& plan);
std::string HistoryLine(const control::Json& entry);

}  // namespace oxbowspread::ctl
