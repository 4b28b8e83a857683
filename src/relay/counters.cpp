#include "relay/counters.hpp"

#include <utility>

namespace oxbowspread::relay {

std::string Counters::Text() const {
  const std::pair<const char*, std::uint64_t> all[] = {
      {"authorisations", messages},
      {"taken_on", taken_on},
      {"known_again", known_again},
      {"withdrawn", withdrawn},
      {"busy_by_module", busy_by_module},
      {"busy_full", busy_full},
      {"busy_journal", busy_journal},
      {"malformed", malformed},
      {"recovered", recovered},
      {"recovered_notices", recovered_notices},
      {"recovered_untried", recovered_untried},
      {"given_up_untried", given_up_untried},
      {"journal_cut_bytes", journal_cut_bytes},
      {"legs", attempts},
      {"lines_opened", lines_opened},
      {"line_failures", line_failures},
      {"lines_evicted", lines_evicted},
      {"lines_idled", lines_idled},
      {"answers_spoilt", answers_spoilt},
      {"served", served},
      {"errors", errors},
      {"refused", refused},
      {"timed_out", timed_out},
      {"no_connection", no_connection},
      {"reset", reset},
      {"cancelled", cancelled},
      {"not_sent", not_sent},
      {"legs_held_back", attempts_held_back},
      {"delivered", delivered},
      {"undeliverable", undeliverable},
      {"deferred", deferred},
      {"returned_early", returned_early},
      {"notices_taken", notices_taken},
      {"notice_retries", notice_retries},
      {"watches", watches},
      {"list_changes", list_changes},
      {"list_failures", list_failures},
      {"lists_behind", lists_behind},
      {"list_entries_unreadable", list_entries_unreadable},
      {"list_leases_over", list_leases_over},
      {"clients", clients},
      {"clients_turned_away", clients_turned_away},
      {"clients_evicted", clients_evicted},
      {"clients_evicted_unasked", clients_evicted_unasked},
      {"clients_too_slow", clients_too_slow},
      {"reloads", reloads},
      {"reloads_refused", reloads_refused},
      {"hosts_out", hosts_out},
      {"turns", turns},
      {"latest_turn_us", latest_turn_us},
      {"longest_turn_us", longest_turn_us},
  };
  std::string text;
  for (const auto& [name, value] : all) text += std::string(name) + "=" + std::to_string(value) + "\n";
  return text;
}

}  // namespace oxbowspread::relay
