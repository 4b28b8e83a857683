// The operators' group file, in YAML: which agents and instances there are, and within which limits they may
// be changed. Read and checked in one place; every fault names file, line and key.
#pragma once

#include <string>
#include <vector>

#include "change/record.hpp"
#include "yaml/reader.hpp"

namespace oxbowspread::group {

using Error = yaml::Error;

struct Agent {
  std::string name;
  std::string address;  // address:port of its control socket for the group
};

struct Instance {
  std::string name;
  std::string agent;        // which keeps it
  std::string config_path;  // of its JSON file, absolute
  double capacity = 0;      // messages a second it can carry; 0: not told
};

struct Group {
  std::string name;
  std::string path;  // of the file
  std::string keys;  // folder, absolute
  std::vector<Agent> agents;
  std::vector<Instance> instances;
  change::Limits limits;

  const Agent* FindAgent(const std::string& name) const;
  const Instance* Find(const std::string& name) const;
  std::vector<change::InstanceCapacity> instance_capacities() const;
};

// Throws Error. Keys that it doesn't know are faults: a misspelt limit must not silently be none.
Group Read(const std::string& path);

std::string ReadFile(const std::string& path);  // throws Error
// Of a configuration's text: "c" and ten hex digits of its SHA-256.
std::string VersionOfText(const std::string& text);

}  // namespace oxbowspread::group
