// The operators' group file (YAML): the agents and instances of a group and the limits within which they may
// be changed. It is read and checked here only; every fault names file, line and key.
#pragma once

#include <string>
#include <vector>

#include "change/record.hpp"
#include "yaml/reader.hpp"

namespace oxbowspread::group {

using Error = yaml::Error;

struct Agent {
  std::string name;
  // IPv4 address and port of its control socket for the other members.
  std::string address;
};

struct Instance {
  std::string name;
  // Name of the agent that runs it.
  std::string agent;
  // Absolute path of its JSON configuration.
  std::string config_path;
  // Messages a second that it can process; 0 if the file gives none.
  double capacity = 0;
};

struct Group {
  std::string name;
  // Path of the group file.
  std::string path;
  // Absolute path of the folder with the keys; empty if the file names none.
  std::string keys_folder;
  std::vector<Agent> agents;
  std::vector<Instance> instances;
  change::Limits limits;

  // Both return null if the group has none of that name.
  const Agent* FindAgent(const std::string& name) const;
  const Instance* FindInstance(const std::string& name) const;
  std::vector<change::InstanceCapacity> instance_capacities() const;
};

// Throws Error. An unknown key is a fault, so that a misspelt limit is not silently ignored.
Group Read(const std::string& path);

// Throws Error if the file can't be read.
std::string ReadFile(const std::string& path);
// Version of a configuration or group file by its text: "c" and ten hexadecimal digits of its SHA-256.
std::string VersionOfText(const std::string& text);

}  // namespace oxbowspread::group
