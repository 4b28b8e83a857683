// Mutual TLS 1.3 (RFC 8446) between the members of a group, as a filter that is fed bytes; knows no socket.
#pragma once

#include <openssl/ssl.h>

#include <memory>
#include <string>

#include "control/peer.hpp"

namespace oxbowspread::tls {

// A side's own certificate and key, and the group's certificate, read from
//   FOLDER/group.crt  FOLDER/NAME.crt  FOLDER/NAME.key
// The key file must be readable by its owner alone (0600 or less).
class Identity {
 public:
  // Throws std::runtime_error that names the file at fault and why.
  Identity(std::string folder, std::string name);

  // Reads the files anew where one of them has changed since; true if they did. Where the new ones can't be
  // used the old ones stay, and it throws as the constructor does.
  bool Refresh();
  // Certificate numbers, so that operators see which one is in use; hex.
  std::string serial() const;
  // Until when the certificate in use is good, in Unix time.
  std::int64_t good_until() const;

  // The side that opens the connection names whom it means to reach: nobody else is accepted. The side that
  // was connected to accepts every member of the group.
  std::unique_ptr<control::Filter> ToServer(const std::string& expected) const;
  std::unique_ptr<control::Filter> ToClient() const;

 private:
  struct FreeContext {
    void operator()(SSL_CTX* c) const { SSL_CTX_free(c); }
  };
  using Context = std::shared_ptr<SSL_CTX>;
  Context Load(std::string* stamp) const;
  std::string Stamp() const;

  std::string folder_, name_;
  Context context_;
  std::string stamp_;  // of the files in use: sizes, numbers and times
};

}  // namespace oxbowspread::tls
