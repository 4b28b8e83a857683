// What oxbowctl shows: tables for people, made from the agents' answers. No I/O but for reading the group
// file, whose text the agents' is compared with. What an answer lacks is shown as "-"; nothing here throws
// for it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ctl/client.hpp"

namespace oxbowspread::ctl {

// Columns as wide as they need to be; the first row is the head.
std::string Table(const std::vector<std::vector<std::string>>& rows);

// One entry an instance of the group, whether or not its agent answered:
//   instance, agent, known, phase, held, asked, refused, version, wanted, pid, deaths, age_ms, fault
// `known` is false where nothing younger than `belief_age_ms` is to be had: then phase is "unknown".
control::Json StatusOf(const group::Group& group, const std::map<std::string, Answered>& answers,
                       std::int64_t belief_age_ms);
std::string StatusTable(const control::Json& status);
std::string AgentTable(const group::Group& group, const std::map<std::string, Answered>& answers);

// "restart c3-7 running 2/5: n3 pausing (held back: ...)"
std::string ProgressLine(const control::Json& change_answer);
std::string ChangeTable(const control::Json& change_answer);
std::string PlanTable(const control::Json& plan);
std::string HistoryLine(const control::Json& happened);

}  // namespace oxbowspread::ctl
