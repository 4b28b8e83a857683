// Reads and checks the group file (YAML), in which operators list the agents and instances of a group and the
// limits of its changes. Every error text has the file, the line and the key.
#pragma once

#include <string>
#include <vector>

#include "change/record.hpp"
#include "yaml/reader.hpp"

namespace oxbowspread::group {

using Error = yaml::Error;

// An agent of the group, one on each host.
struct Agent {
  std::string name;
  // IPv4 address and port at which it accepts control connections of the other members.
  std::string address;
};

// A relay instance of the group.
struct Instance {
  std::string name;
  // Name of the agent that supervises it.
  std::string agent;
  // Absolute path of its JSON configuration.
  std::string config_path;
  // Messages a second that it can process; 0 if the file sets none.
  double capacity = 0;
};

// The content of a valid group file.
struct Group {
  std::string name;
  // Path of the group file.
  std::string path;
  // Absolute path of the folder with the keys; empty if the file names none.
  std::string keys_folder;
  std::vector<Agent> agents;
  std::vector<Instance> instances;
  change::Limits limits;

  // Both return null if no agent or instance has this name. The pointers are valid as long as the lists are
  // unchanged.
  const Agent* FindAgent(const std::string& name) const;
  const Instance* FindInstance(const std::string& name) const;
  std::vector<change::InstanceCapacity> instance_capacities() const;
};

// Reads and checks the file. Throws Error if it can't be read or is invalid. An unknown key is an error, so
// that a misspelt limit is not silently ignored.
Group Read(const std::string& path);

// Returns the content of the file. Throws Error if it can't be read.
std::string ReadFile(const std::string& path);
// Returns the version of a configuration or group file with this text: "c" and the first ten hexadecimal
// digits of the text's SHA-256 hash.
std::string VersionOfText(const std::string& text);

}  // namespace oxbowspread::group
