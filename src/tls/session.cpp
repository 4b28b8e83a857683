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

std::string CommonName(X509* certificate) {
  if (certificate == nullptr) return {};
  char name[256];
  const int length =
      X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, name, sizeof name);
  return length > 0 ? std::string(name, static_cast<std::size_t>(length)) : std::string();
}

// One TLS connection of either side. OpenSSL reads from and writes to memory buffers.
class Session final : public control::Filter {
 public:
  Session(std::shared_ptr<SSL_CTX> context, bool is_client, std::string expected)
      : context_(std::move(context)), ssl_(SSL_new(context_.get())), expected_(std::move(expected)) {
    received_ = BIO_new(BIO_s_mem());
    unsent_ = BIO_new(BIO_s_mem());
    SSL_set_bio(ssl_, received_, unsent_);  // takes ownership of both
    is_client ? SSL_set_connect_state(ssl_) : SSL_set_accept_state(ssl_);
  }
  ~Session() override { SSL_free(ssl_); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  std::string Begin() override {
    Handshake();
    return TakeUnsent();
  }

  bool Feed(std::string_view wire, std::string* plain, std::string* reply) override {
    if (!error_.empty()) return false;
    BIO_write(received_, wire.data(), static_cast<int>(wire.size()));
    const bool succeeded = (established_ || Handshake()) && Read(plain);
    *reply += TakeUnsent();
    return succeeded;
  }

  bool open() const override { return established_; }
  std::string Seal(std::string_view plain) override {
    if (established_ && !plain.empty()) SSL_write(ssl_, plain.data(), static_cast<int>(plain.size()));
    return TakeUnsent();
  }
  std::string peer() const override { return peer_; }
  std::string error() const override { return error_; }

 private:
  // Continues the handshake. Returns false if it has failed.
  bool Handshake() {
    ERR_clear_error();
    const int result = SSL_do_handshake(ssl_);
    if (result != 1) return CheckResult(result, "no TLS 1.3 with a member of the group");
    X509* const certificate = SSL_get0_peer_certificate(ssl_);
    peer_ = CommonName(certificate);
    if (!expected_.empty() && peer_ != expected_) {
      error_ = "the other side is '" + peer_ + "', not '" + expected_ + "'";
      return false;
    }
    return established_ = true;
  }

  // Appends all decrypted bytes to `plain`. Returns false if the stream has failed or ended.
  bool Read(std::string* plain) {
    if (!established_) return true;
    char bytes[16384];
    while (true) {
      ERR_clear_error();
      const int count = SSL_read(ssl_, bytes, sizeof bytes);
      if (count <= 0) return CheckResult(count, "broken TLS stream");
      plain->append(bytes, static_cast<std::size_t>(count));
    }
  }

  // Returns whether OpenSSL only waits for more bytes; otherwise sets the error.
  bool CheckResult(int result, const char* failure) {
    const int error = SSL_get_error(ssl_, result);
    if (error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE) return true;
    if (error == SSL_ERROR_ZERO_RETURN) {
      error_ = "closed by the other side";
      return false;
    }
    const long verified = SSL_get_verify_result(ssl_);
    error_ = std::string(failure) + ": " +
             (verified != X509_V_OK ? X509_verify_cert_error_string(verified) : LastError());
    ERR_clear_error();
    return false;
  }

  // Returns the bytes to be sent and removes them from the buffer.
  std::string TakeUnsent() {
    std::string bytes(BIO_ctrl_pending(unsent_), '\0');
    if (!bytes.empty()) BIO_read(unsent_, bytes.data(), static_cast<int>(bytes.size()));
    return bytes;
  }

  std::shared_ptr<SSL_CTX> context_;
  SSL* ssl_;
  BIO* received_ = nullptr;
  BIO* unsent_ = nullptr;
  std::string expected_, peer_, error_;
  bool established_ = false;
};

}  // namespace

Identity::Identity(std::string folder, std::string name)
    : folder_(std::move(folder)), name_(std::move(name)) {
  context_ = Load(&fingerprint_);
}

std::string Identity::Fingerprint() const {
  std::string fingerprint;
  for (const std::string& file :
       {folder_ + "/group.crt", folder_ + "/" + name_ + ".crt", folder_ + "/" + name_ + ".key"}) {
    struct stat status {};
    if (stat(file.c_str(), &status) != 0) throw std::runtime_error(file + ": does not exist");
    fingerprint += std::to_string(status.st_ino) + ":" + std::to_string(status.st_size) + ":" +
                   std::to_string(status.st_mtim.tv_sec) + "." + std::to_string(status.st_mtim.tv_nsec) + " ";
  }
  return fingerprint;
}

bool Identity::ReloadIfChanged() {
  if (Fingerprint() == fingerprint_) return false;
  std::string fingerprint;
  context_ = Load(&fingerprint);
  fingerprint_ = fingerprint;
  return true;
}

Identity::Context Identity::Load(std::string* fingerprint) const {
  const std::string group = folder_ + "/group.crt", own = folder_ + "/" + name_ + ".crt",
                    key = folder_ + "/" + name_ + ".key";
  *fingerprint = Fingerprint();
  struct stat status {};
  if (stat(key.c_str(), &status) == 0 && (status.st_mode & 077) != 0) {
    throw std::runtime_error(key + ": is accessible to other users; only mode 0600 is accepted");
  }
  Context context(SSL_CTX_new(TLS_method()), FreeContext());
  SSL_CTX* const raw_context = context.get();
  const auto check = [](bool succeeded, const std::string& file) {
    if (!succeeded) throw std::runtime_error(file + ": " + LastError());
  };
  ERR_clear_error();
  check(SSL_CTX_set_min_proto_version(raw_context, TLS1_3_VERSION) == 1, "TLS 1.3");
  SSL_CTX_set_session_cache_mode(raw_context, SSL_SESS_CACHE_OFF);
  SSL_CTX_set_num_tickets(raw_context, 0);
  SSL_CTX_set_verify(raw_context, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
  SSL_CTX_set_mode(raw_context, SSL_MODE_AUTO_RETRY | SSL_MODE_RELEASE_BUFFERS);
  check(SSL_CTX_load_verify_locations(raw_context, group.c_str(), nullptr) == 1, group);
  check(SSL_CTX_use_certificate_file(raw_context, own.c_str(), SSL_FILETYPE_PEM) == 1, own);
  check(SSL_CTX_use_PrivateKey_file(raw_context, key.c_str(), SSL_FILETYPE_PEM) == 1, key);
  check(SSL_CTX_check_private_key(raw_context) == 1, key);
  return context;
}

std::string Identity::serial() const {
  const ASN1_INTEGER* const serial_number = X509_get0_serialNumber(SSL_CTX_get0_certificate(context_.get()));
  BIGNUM* const integer = ASN1_INTEGER_to_BN(serial_number, nullptr);
  char* const hex = BN_bn2hex(integer);
  const std::string text = hex;
  OPENSSL_free(hex);
  BN_free(integer);
  return text;
}

std::int64_t Identity::expires_at() const {
  std::tm expiry{};
  ASN1_TIME_to_tm(X509_get0_notAfter(SSL_CTX_get0_certificate(context_.get())), &expiry);
  return timegm(&expiry);
}

std::unique_ptr<control::Filter> Identity::NewClientSession(const std::string& expected) const {
  return std::make_unique<Session>(context_, true, expected);
}

std::unique_ptr<control::Filter> Identity::NewServerSession() const {
  return std::make_unique<Session>(context_, false, std::string());
}

}  // namespace oxbowspread::tls
