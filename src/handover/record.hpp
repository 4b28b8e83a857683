// What goes between the process that gives over and the one that takes, as packets. Knows no socket; a packet
// may carry one descriptor beside its bytes.
//
//   taker  kAsk      version, pid
//   giver  kNo       why: it goes on as if nothing had been
//   giver  kEstate   a piece of the estate
//   giver  kClient   one client, with its descriptor
//   giver  kOffered  all is told; how many clients; with the descriptor of the folder's lock
//   taker  kTaken    it has read all of that
//   giver  kYours    from here on the taker owns everything; before it, nothing
//   giver  kEnded    an attempt that went on at the giver has ended
//   taker  kCut      end that attempt; answered by kIsCut
//   giver  kOperate  an operator's call, which came to the giver's door; answered by kOperated
//
// Both run on one machine: numbers are in its byte order.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "client/clients.hpp"
#include "relay/estate.hpp"
#include "relay/ports.hpp"

namespace oxbowspread::handover {

// Of the packets and of what they hold: a process of another version is refused.
inline constexpr int kVersion = 1;

struct Ask {
  int version = kVersion;
  int pid = 0;
};
struct No {
  std::string why;
};
struct EstatePiece {
  std::string bytes;
};
struct ClientPassed {
  client::Passed client;  // its descriptor goes beside the packet
};
struct Offered {
  std::size_t clients = 0;
};
struct Taken {};
struct Yours {};
struct AttemptEnded {
  std::string id;
  relay::AttemptEnd end;
};
struct Cut {
  std::string id;
};
struct IsCut {
  std::string id;
};
struct Operate {
  std::string word, argument;
};
struct Operated {
  std::string error;  // empty: done
};

using Packet = std::variant<Ask, No, EstatePiece, ClientPassed, Offered, Taken, Yours, AttemptEnded, Cut,
                            IsCut, Operate, Operated>;

std::string ToBytes(const Packet& packet);
// Throws std::invalid_argument where the bytes are no packet.
Packet FromBytes(std::string_view bytes);

std::vector<EstatePiece> Pieces(const relay::Estate& estate);
// Throws std::invalid_argument where they are no estate.
relay::Estate FromPieces(const std::string& all);

}  // namespace oxbowspread::handover
