// Packets of the handover protocol between the sender (the process that hands over) and the receiver (the
// process that takes over). Independent of sockets. One descriptor may be sent with a packet.
//
//   receiver  HandoverRequest       protocol version, pid
//   sender    Refusal               the reason; the sender continues to serve
//   sender    StateChunk            a part of the serialized HandoverState
//   sender    ClientTransfer        one client, with its descriptor
//   sender    OfferComplete         everything is sent; number of clients, descriptor of the folder lock
//   receiver  OfferAccepted         everything has been read and parsed
//   sender    OwnershipTransferred  the receiver is the owner from this packet on, and not before it
//   sender    AttemptEnded          an attempt that continued in the sender has ended
//   receiver  CancelRequest         cancel that attempt; answered by CancelConfirmed
//   sender    OperatorCommand       a command that arrived at the sender; answered by CommandResult
//
// Both processes run on the same machine, so times of its monotonic clock are sent unchanged.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "client/client_server.hpp"
#include "relay/handover_state.hpp"
#include "relay/ports.hpp"

namespace oxbowspread::handover {

// Version of the packets and their contents. A process of another version is refused.
inline constexpr int kProtocolVersion = 1;

struct HandoverRequest {
  int version = kProtocolVersion;
  int pid = 0;
};
struct Refusal {
  std::string reason;
};
struct StateChunk {
  std::string bytes;
};
struct ClientTransfer {
  client::ClientState client;  // its descriptor is sent with the packet
};
struct OfferComplete {
  std::size_t clients = 0;
};
struct OfferAccepted {};
struct OwnershipTransferred {};
struct AttemptEnded {
  std::string id;
  relay::AttemptResult result;
};
struct CancelRequest {
  std::string id;
};
struct CancelConfirmed {
  std::string id;
};
struct OperatorCommand {
  std::string command, argument;
};
struct CommandResult {
  std::string error;  // empty on success
};

// A packet is encoded with its index in this list, so the order must not change.
using Packet = std::variant<HandoverRequest, Refusal, StateChunk, ClientTransfer, OfferComplete,
                            OfferAccepted, OwnershipTransferred, AttemptEnded, CancelRequest, CancelConfirmed,
                            OperatorCommand, CommandResult>;

// Serializes a packet as CBOR.
std::string ToBytes(const Packet& packet);
// Parses a packet. Throws std::invalid_argument if the bytes are not a valid packet.
Packet FromBytes(std::string_view bytes);

// Serializes the state and splits it into packets.
std::vector<StateChunk> ToChunks(const relay::HandoverState& state);
// Parses the concatenated chunks. Throws std::invalid_argument if they are not a valid state.
relay::HandoverState FromChunks(const std::string& bytes);

}  // namespace oxbowspread::handover
