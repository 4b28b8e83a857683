// A client's connection to one relay: carries one request at a time, and tells what came of it.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "net/connection.hpp"

namespace oxbowspread::standin {

// An array of bulk strings, as RESP2 wants a command.
std::string RespCommand(const std::vector<std::string>& words);

class ClientLine final : private net::Connection::Handler {
 public:
  struct Break {
    bool asking = false;     // a request waited for its answer
    bool connected = false;  // else the relay refused, or did not answer, the connection itself
    bool unread = false;     // closed between two requests, which may have crossed one that was never read
  };
  // May dispose of the line from within: by Loop::Dispose, after Close.
  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void OnAnswer(ClientLine& line,
                          const std::string& answer) = 0;  // its first line, without the end
    virtual void OnBreak(ClientLine& line, const Break& how) = 0;
  };

  // Waits for a connection, and for each answer, no longer than `within`; 0: for good. Loop and owner outlive
  // it.
  ClientLine(net::Loop& loop, Owner& owner, const net::Address& to, net::Time within);
  bool opened() const { return connection_ != nullptr; }  // false: no socket was to be had
  bool free() const { return request_.empty() && !gone_; }
  // On a free line; sent once it is connected. Not empty.
  void Ask(std::string request);
  void Close();  // nothing is told any more

 private:
  void OnConnected() override;
  void OnBytes(proto::RingBuffer& in) override;
  void OnClosed() override { Broken(true); }
  void Broken(bool closed);
  void Watch();

  Owner& owner_;
  net::Time within_;
  std::unique_ptr<net::Connection> connection_;
  net::Timer late_;
  std::string request_, text_;
  bool was_connected_ = false, answered_before_ = false, gone_ = false;
};

}  // namespace oxbowspread::standin
