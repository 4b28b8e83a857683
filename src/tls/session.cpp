#include "tls/session.hpp"

#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>

#include <ctime>
#include <stdexcept>

namespace oxbowspread::tls {
namespace {

std::string LastError() {
  const unsigned long code = ERR_peek_last_error();
  const char* reason = code != 0 ? ERR_reason_error_string(code) : nullptr;
  ERR_clear_error();
  return reason != nullptr ? reason : "unknown reason";
}

std::string NameIn(X509* certificate) {
  if (certificate == nullptr) return {};
  char name[256];
  const int length =
      X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, name, sizeof name);
  return length > 0 ? std::string(name, static_cast<std::size_t>(length)) : std::string();
}

class Session final : public control::Filter {
 public:
  Session(std::shared_ptr<SSL_CTX> context, bool opens, std::string expected)
      : context_(std::move(context)), ssl_(SSL_new(context_.get())), expected_(std::move(expected)) {
    in_ = BIO_new(BIO_s_mem());
    out_ = BIO_new(BIO_s_mem());
    SSL_set_bio(ssl_, in_, out_);  // which owns both from now on
    opens ? SSL_set_connect_state(ssl_) : SSL_set_accept_state(ssl_);
  }
  ~Session() override { SSL_free(ssl_); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  std::string Begin() override {
    Shake();
    return Pending();
  }

  bool Feed(std::string_view wire, std::string* plain, std::string* reply) override {
    if (!error_.empty()) return false;
    BIO_write(in_, wire.data(), static_cast<int>(wire.size()));
    const bool good = (open_ || Shake()) && Read(plain);
    *reply += Pending();
    return good;
  }

  bool open() const override { return open_; }
  std::string Seal(std::string_view plain) override {
    if (open_ && !plain.empty()) SSL_write(ssl_, plain.data(), static_cast<int>(plain.size()));
    return Pending();
  }
  std::string peer() const override { return peer_; }
  std::string error() const override { return error_; }

 private:
  // True unless it failed for good.
  bool Shake() {
    ERR_clear_error();
    const int result = SSL_do_handshake(ssl_);
    if (result != 1) return More(result, "no TLS 1.3 with a member of the group");
    X509* const certificate = SSL_get0_peer_certificate(ssl_);
    peer_ = NameIn(certificate);
    if (!expected_.empty() && peer_ != expected_) {
      error_ = "the other side is '" + peer_ + "', not '" + expected_ + "'";
      return false;
    }
    return open_ = true;
  }

  bool Read(std::string* plain) {
    if (!open_) return true;
    char bytes[16384];
    while (true) {
      ERR_clear_error();
      const int count = SSL_read(ssl_, bytes, sizeof bytes);
      if (count <= 0) return More(count, "broken TLS stream");
      plain->append(bytes, static_cast<std::size_t>(count));
    }
  }

  bool More(int result, const char* what) {
    const int error = SSL_get_error(ssl_, result);
    if (error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE) return true;
    if (error == SSL_ERROR_ZERO_RETURN) {
      error_ = "ended";
      return false;
    }
    const long verified = SSL_get_verify_result(ssl_);
    error_ = std::string(what) + ": " +
             (verified != X509_V_OK ? X509_verify_cert_error_string(verified) : LastError());
    ERR_clear_error();
    return false;
  }

  std::string Pending() {
    std::string bytes(BIO_ctrl_pending(out_), '\0');
    if (!bytes.empty()) BIO_read(out_, bytes.data(), static_cast<int>(bytes.size()));
    return bytes;
  }

  std::shared_ptr<SSL_CTX> context_;
  SSL* ssl_;
  BIO* in_ = nullptr;
  BIO* out_ = nullptr;
  std::string expected_, peer_, error_;
  bool open_ = false;
};

}  // namespace

Identity::Identity(std::string folder, std::string name)
    : folder_(std::move(folder)), name_(std::move(name)) {
  context_ = Load(&stamp_);
}

std::string Identity::Stamp() const {
  std::string stamp;
  for (const std::string& file :
       {folder_ + "/group.crt", folder_ + "/" + name_ + ".crt", folder_ + "/" + name_ + ".key"}) {
    struct stat s {};
    if (stat(file.c_str(), &s) != 0) throw std::runtime_error(file + ": is not there");
    stamp += std::to_string(s.st_ino) + ":" + std::to_string(s.st_size) + ":" +
             std::to_string(s.st_mtim.tv_sec) + "." + std::to_string(s.st_mtim.tv_nsec) + " ";
  }
  return stamp;
}

bool Identity::Refresh() {
  if (Stamp() == stamp_) return false;
  std::string stamp;
  context_ = Load(&stamp);
  stamp_ = stamp;
  return true;
}

Identity::Context Identity::Load(std::string* stamp) const {
  const std::string group = folder_ + "/group.crt", own = folder_ + "/" + name_ + ".crt",
                    key = folder_ + "/" + name_ + ".key";
  *stamp = Stamp();
  struct stat s {};
  if (stat(key.c_str(), &s) == 0 && (s.st_mode & 077) != 0) {
    throw std::runtime_error(key + ": others may read it; only 0600 is accepted");
  }
  Context context(SSL_CTX_new(TLS_method()), FreeContext());
  SSL_CTX* const c = context.get();
  const auto check = [](bool good, const std::string& file) {
    if (!good) throw std::runtime_error(file + ": " + LastError());
  };
  ERR_clear_error();
  check(SSL_CTX_set_min_proto_version(c, TLS1_3_VERSION) == 1, "TLS 1.3");
  SSL_CTX_set_session_cache_mode(c, SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets(c, 0);
  SSL_CTX_set_verify(c, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
  SSL_CTX_set_mode(c, SSL_MODE_AUTO_RETRY | SSL_MODE_RELEASE_BUFFERS);
  check(SSL_CTX_load_verify_locations(c, group.c_str(), nullptr) == 1, group);
  check(SSL_CTX_use_certificate_file(c, own.c_str(), SSL_FILETYPE_PEM) == 1, own);
  check(SSL_CTX_use_PrivateKey_file(c, key.c_str(), SSL_FILETYPE_PEM) == 1, key);
  check(SSL_CTX_check_private_key(c) == 1, key);
  return context;
}

std::string Identity::serial() const {
  const ASN1_INTEGER* const number = X509_get0_serialNumber(SSL_CTX_get0_certificate(context_.get()));
  BIGNUM* const big = ASN1_INTEGER_to_BN(number, nullptr);
  char* const hex = BN_bn2hex(big);
  const std::string text = hex;
  OPENSSL_free(hex);
  BN_free(big);
  return text;
}

std::int64_t Identity::good_until() const {
  std::tm tm{};
  ASN1_TIME_to_tm(X509_get0_notAfter(SSL_CTX_get0_certificate(context_.get())), &tm);
  return timegm(&tm);
}

std::unique_ptr<control::Filter> Identity::ToServer(const std::string& expected) const {
  return std::make_unique<Session>(context_, true, expected);
}

std::unique_ptr<control::Filter> Identity::ToClient() const {
  return std::make_unique<Session>(context_, false, std::string());
}

}  // namespace oxbowspread::tls
