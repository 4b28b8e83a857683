#include "relay/counters.hpp"

#include <utility>

namespace oxbowspread::relay {

std::string Counters::Text() const {
  const std::pair<const char*, std::uint64_t> names_and_values[] = {
      {"authorisations", messages},
      {"taken_on", accepted},
      {"known_again", duplicates},
      {"withdrawn", withdrawn},
      {"busy_by_module", rejected_by_decider},
      {"busy_full", rejected_at_limit},
      {"busy_journal", rejected_by_journal},
      {"malformed", malformed},
      {"recovered", recovered},
      {"recovered_notices", recovered_notices},
      {"recovered_untried", recovered_unattempted},
      {"given_up_untried", ended_unattempted},
      {"journal_cut_bytes", journal_cut_bytes},
      {"legs", attempts},
      {"lines_opened", connections_opened},
      {"line_failures", connection_failures},
      {"lines_evicted", connections_evicted},
      {"lines_idled", idle_connections_closed},
      {"answers_spoilt", invalid_responses},
      {"served", served},
      {"errors", errors},
      {"refused", refused},
      {"timed_out", timed_out},
      {"no_connection", no_connection},
      {"reset", reset},
      {"cancelled", cancelled},
      {"not_sent", not_sent},
      {"legs_held_back", attempts_withheld},
      {"delivered", delivered},
      {"undeliverable", undeliverable},
      {"deferred", deferred},
      {"returned_early", returned_early},
      {"notices_taken", notices_accepted},
      {"notice_retries", notice_retries},
      {"watches", list_subscriptions},
      {"list_changes", list_changes},
      {"list_failures", list_failures},
      {"lists_behind", stale_lists},
      {"list_entries_unreadable", list_entries_unreadable},
      {"list_leases_over", list_leases_expired},
      {"clients", clients},
      {"clients_turned_away", clients_rejected},
      {"clients_evicted", clients_evicted},
      {"clients_evicted_unasked", clients_evicted_without_command},
      {"clients_too_slow", clients_timed_out},
      {"commands_awaiting_room", commands_awaiting_room},
      {"reloads", reloads},
      {"reloads_refused", reloads_refused},
      {"hosts_out", hosts_excluded},
      {"turns", steps},
      {"latest_turn_us", longest_step_delay_us},
      {"longest_turn_us", longest_step_us},
  };
  std::string text;
  for (const auto& [name, value] : names_and_values)
    text += std::string(name) + "=" + std::to_string(value) + "\n";
  return text;
}

}  // namespace oxbowspread::relay
