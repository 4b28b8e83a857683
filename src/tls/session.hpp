// Mutual TLS 1.3 (RFC 8446) between the members of a group, as a filter over bytes; it does no input or
// output.
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
  // Throws std::runtime_error that names the file at fault and the reason.
  Identity(std::string folder, std::string name);

  // Loads the files again if one of them has changed since, and returns whether it did. If the new files
  // can't be used, throws as the constructor does and keeps the old ones.
  bool ReloadIfChanged();
  // Serial number of the certificate in use, in hexadecimal, by which operators can tell which one it is.
  std::string serial() const;
  // Expiry of the certificate in use, in seconds of Unix time.
  std::int64_t expires_at() const;

  // A session of the side that opens the connection; it accepts only the member named `expected`.
  std::unique_ptr<control::Filter> NewClientSession(const std::string& expected) const;
  // A session of the side that accepts the connection; it accepts every member of the group.
  std::unique_ptr<control::Filter> NewServerSession() const;

 private:
  struct FreeContext {
    void operator()(SSL_CTX* c) const { SSL_CTX_free(c); }
  };
  using Context = std::shared_ptr<SSL_CTX>;
  // Loads the files; `fingerprint` gets their fingerprint.
  Context Load(std::string* fingerprint) const;
  // Inode numbers, sizes and modification times of the three files, to detect a change.
  std::string Fingerprint() const;

  std::string folder_, name_;
  Context context_;
  // Of the files in use.
  std::string fingerprint_;
};

}  // namespace oxbowspread::tls
