// The line protocol of the simulator: reads events from lines of text and writes actions as lines. It only
// translates; all decisions are made in decide.cpp.
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wheathub/decide.hpp"

namespace wheathub::wire {

// Malformed input. The text starts with the line number, counted from 1.
class Error : public std::runtime_error {
 public:
  Error(std::size_t line, const std::string& what)
      : std::runtime_error("line " + std::to_string(line) + ": " + what) {}
};

// Starts the Decider of an instance.
struct Launch {
  std::uint64_t seed = 0;
  Settings settings;
};
// Ends an instance.
struct Teardown {};

// One line of a batch.
struct Item {
  std::string instance;
  std::size_t line = 0;
  std::variant<Launch, Teardown, Event> content;
};

// All events of one moment, for all instances.
struct Batch {
  Time now{0};
  std::string round;  // identifies the batch; repeated in the answer
  std::vector<Item> items;
};

// Reads batches from a stream, which must outlive it.
class Reader {
 public:
  explicit Reader(std::istream& in) : in_(in) {}

  // Reads the next batch. Returns false at the end of the input; throws Error if the input is malformed.
  bool Next(Batch* batch);
  // Number of lines read so far.
  std::size_t line() const { return line_; }

 private:
  bool GetLine(std::string* text);
  std::vector<EndpointInfo> ReadEndpointList(std::size_t count);

  std::istream& in_;
  std::size_t line_ = 0;
  std::map<std::int64_t, std::vector<EndpointInfo>> endpoint_lists_;  // by reference number
  std::map<std::string, std::vector<std::string>> report_fields_;     // by instance
};

// Parses the JSON text of a LAUNCH line. Returns the settings and stores the names of the figures that
// endpoints report in `report_fields`. Throws std::invalid_argument if the text can't be parsed.
Settings ParseSettings(std::string_view json, std::vector<std::string>* report_fields);

// Appends one action to `out`, as a line that ends with a newline.
void Write(const Action& action, std::string* out);

}  // namespace wheathub::wire
