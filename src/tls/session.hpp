// Mutual TLS 1.3 (RFC 8446) between the members of a group, as a filter of byte streams. Apart from loading
// the key files it does no I/O.
#pragma once

#include <openssl/ssl.h>

#include <memory>
#include <string>

#include "control/peer.hpp"

namespace oxbowspread::tls {

// A member's own certificate and key, and the group's certificate, read from
//   FOLDER/group.crt  FOLDER/NAME.crt  FOLDER/NAME.key
// The key file must be accessible to its owner only (mode 0600 or less).
class Identity {
 public:
  // Throws std::runtime_error with the name of the file at fault and the reason.
  Identity(std::string folder, std::string name);

  // Loads the files again if one of them has changed since the last load. Returns whether it loaded them. If
  // the new files can't be used, throws like the constructor and keeps using the old ones.
  bool ReloadIfChanged();
  // Serial number of the certificate in use, in hexadecimal, which shows operators whether a new one is
  // loaded.
  std::string serial() const;
  // Expiry of the certificate in use, in seconds of Unix time.
  std::int64_t expires_at() const;

  // A session for the side that opens the connection. It accepts only the member named `expected`.
  std::unique_ptr<control::Filter> NewClientSession(const std::string& expected) const;
  // A session for the side that accepts the connection. It accepts every member of the group.
  std::unique_ptr<control::Filter> NewServerSession() const;

 private:
  struct FreeContext {
    void operator()(SSL_CTX* c) const { SSL_CTX_free(c); }
  };
  using Context = std::shared_ptr<SSL_CTX>;
  // Loads the files and sets `fingerprint` to their fingerprint.
  Context Load(std::string* fingerprint) const;
  // Inode numbers, sizes and modification times of the three files, to detect a change.
  std::string Fingerprint() const;

  std::string folder_, name_;
  Context context_;
  std::string fingerprint_;  // of the files in use
};

}  // namespace oxbowspread::tls
