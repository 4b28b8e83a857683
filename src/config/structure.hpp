// Comparison of a reloaded configuration file with the running one: a file that lacks a key is refused,
// because the default that would take its place may be a weaker promise. Has no side effects.
#pragma once

#include <nlohmann/json.hpp>

namespace oxbowspread::config {

// Requires every key of the running file in the next one, with the same type; values may differ. Elements of
// lists are compared by name: a class or tenant that the running file contains must keep its keys, and a new
// one must have the keys that all running ones have. These keys may be missing: those that change with each
// start, those that only other semantics need, and optional ones whose absence means what the running value
// says. The settings of `next` must have passed CheckSettings. Throws Error with the path of the first wrong
// key, such as "settings.limits.send-cap" or "settings.services.charge.worth".
void CheckSameStructure(const nlohmann::json& running, const nlohmann::json& next);

}  // namespace oxbowspread::config
