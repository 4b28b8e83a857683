#include "tls/keys.hpp"

#include <fcntl.h>
#include <openssl/bn.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <memory>
#include <stdexcept>

namespace oxbowspread::tls {
namespace {

template <auto Free>
struct Freer {
  template <typename T>
  void operator()(T* t) const {
    Free(t);
  }
};
using Key = std::unique_ptr<EVP_PKEY, Freer<EVP_PKEY_free>>;
using Certificate = std::unique_ptr<X509, Freer<X509_free>>;
using Bytes = std::unique_ptr<BIO, Freer<BIO_free_all>>;

[[noreturn]] void Fail(const std::string& file, const std::string& why) {
  throw std::runtime_error(file + ": " + why);
}

Key NewKey() {
  Key key(EVP_EC_gen("P-256"));
  if (!key) Fail("key", "can't be made");
  return key;
}

Certificate NewCertificate(EVP_PKEY* key, const std::string& name, std::int64_t lifetime_s) {
  Certificate c(X509_new());
  X509_set_version(c.get(), 2);
  unsigned char number[16];
  if (RAND_bytes(number, sizeof number) != 1) Fail("key", "no random numbers");
  number[0] &= 0x7f;  // a positive number (RFC 5280 section 4.1.2.2)
  BIGNUM* const big = BN_bin2bn(number, sizeof number, nullptr);
  BN_to_ASN1_INTEGER(big, X509_get_serialNumber(c.get()));
  BN_free(big);
  // Clocks of two hosts differ a little: good from a minute ago.
  X509_gmtime_adj(X509_getm_notBefore(c.get()), -60);
  X509_gmtime_adj(X509_getm_notAfter(c.get()), static_cast<long>(lifetime_s));
  X509_NAME* const subject = X509_get_subject_name(c.get());
  X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_UTF8,
                             reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
  X509_set_pubkey(c.get(), key);
  return c;
}

void Extend(X509* certificate, X509* issuer, int what, const char* value) {
  X509V3_CTX context;
  X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
  X509_EXTENSION* const extension = X509V3_EXT_conf_nid(nullptr, &context, what, value);
  X509_add_ext(certificate, extension, -1);
  X509_EXTENSION_free(extension);
}

std::string Pem(const BIO* bytes) {
  char* data = nullptr;
  const long size = BIO_get_mem_data(const_cast<BIO*>(bytes), &data);
  return std::string(data, static_cast<std::size_t>(size));
}
std::string PemOf(EVP_PKEY* key) {
  const Bytes out(BIO_new(BIO_s_mem()));
  PEM_write_bio_PrivateKey(out.get(), key, nullptr, nullptr, 0, nullptr, nullptr);
  return Pem(out.get());
}
std::string PemOf(X509* certificate) {
  const Bytes out(BIO_new(BIO_s_mem()));
  PEM_write_bio_X509(out.get(), certificate);
  return Pem(out.get());
}

void Write(const std::string& path, const std::string& text, mode_t mode) {
  const std::string next = path + ".next";
  unlink(next.c_str());
  const int fd = open(next.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
  if (fd < 0) Fail(next, std::strerror(errno));
  const bool whole =
      write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()) && fsync(fd) == 0;
  close(fd);
  if (!whole) Fail(next, "can't be written");
}
void Place(const std::string& path) {
  if (rename((path + ".next").c_str(), path.c_str()) != 0) Fail(path, std::strerror(errno));
}

std::FILE* Open(const std::string& path) {
  std::FILE* const file = std::fopen(path.c_str(), "re");
  if (file == nullptr) Fail(path, std::strerror(errno));
  return file;
}

void CheckName(const std::string& name) {
  const bool good = !name.empty() && name.size() <= 64 &&
                    name.find_first_not_of(
                        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == name.npos &&
                    name.front() != '.' && name != "group";
  if (!good)
    Fail("name", "must be 1 to 64 letters, digits, '-', '_' or '.', and not 'group': '" + name + "'");
}

}  // namespace

void MakeGroup(const std::string& folder, const std::string& group, int days) {
  CheckName(group);
  const std::string key_path = folder + "/group.key", crt_path = folder + "/group.crt";
  if (mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) Fail(folder, std::strerror(errno));
  if (access(key_path.c_str(), F_OK) == 0) Fail(key_path, "is there already; nothing was changed");
  const Key key = NewKey();
  const Certificate c = NewCertificate(key.get(), "group " + group, std::int64_t{days} * 86400);
  X509_set_issuer_name(c.get(), X509_get_subject_name(c.get()));
  Extend(c.get(), c.get(), NID_basic_constraints, "critical,CA:TRUE,pathlen:0");
  Extend(c.get(), c.get(), NID_key_usage, "critical,keyCertSign,cRLSign");
  Extend(c.get(), c.get(), NID_subject_key_identifier, "hash");
  if (X509_sign(c.get(), key.get(), EVP_sha256()) == 0) Fail(crt_path, "can't be signed");
  Write(key_path, PemOf(key.get()), 0600);
  Write(crt_path, PemOf(c.get()), 0644);
  Place(key_path);
  Place(crt_path);
}

void Issue(const std::string& folder, const std::string& name, std::int64_t lifetime_s) {
  CheckName(name);
  const std::string key_path = folder + "/group.key", crt_path = folder + "/group.crt";
  std::FILE* file = Open(key_path);
  const Key group(PEM_read_PrivateKey(file, nullptr, nullptr, nullptr));
  std::fclose(file);
  if (!group) Fail(key_path, "holds no private key");
  file = Open(crt_path);
  const Certificate issuer(PEM_read_X509(file, nullptr, nullptr, nullptr));
  std::fclose(file);
  if (!issuer) Fail(crt_path, "holds no certificate");
  const Key key = NewKey();
  const Certificate c = NewCertificate(key.get(), name, lifetime_s);
  X509_set_issuer_name(c.get(), X509_get_subject_name(issuer.get()));
  Extend(c.get(), issuer.get(), NID_basic_constraints, "critical,CA:FALSE");
  Extend(c.get(), issuer.get(), NID_key_usage, "critical,digitalSignature");
  Extend(c.get(), issuer.get(), NID_ext_key_usage, "serverAuth,clientAuth");
  Extend(c.get(), issuer.get(), NID_authority_key_identifier, "keyid");
  if (X509_sign(c.get(), group.get(), EVP_sha256()) == 0) Fail(name, "can't be signed");
  const std::string own_key = folder + "/" + name + ".key", own_crt = folder + "/" + name + ".crt";
  Write(own_key, PemOf(key.get()), 0600);
  Write(own_crt, PemOf(c.get()), 0644);
  Place(own_key);
  Place(own_crt);
}

}  // namespace oxbowspread::tls
