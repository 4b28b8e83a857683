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

template <auto FreeFunction>
struct Deleter {
  template <typename T>
  void operator()(T* t) const {
    FreeFunction(t);
  }
};
using Key = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY_free>>;
using Certificate = std::unique_ptr<X509, Deleter<X509_free>>;
using MemoryBuffer = std::unique_ptr<BIO, Deleter<BIO_free_all>>;

[[noreturn]] void Fail(const std::string& file, const std::string& reason) {
  throw std::runtime_error(file + ": " + reason);
}

Key GenerateKey() {
  Key key(EVP_EC_gen("P-256"));
  if (!key) Fail("key", "can't be generated");
  return key;
}

Certificate NewCertificate(EVP_PKEY* key, const std::string& name, std::int64_t lifetime_s) {
  Certificate certificate(X509_new());
  X509_set_version(certificate.get(), 2);
  unsigned char random[16];
  if (RAND_bytes(random, sizeof random) != 1) Fail("key", "no random numbers available");
  random[0] &= 0x7f;  // serial numbers must be positive (RFC 5280 section 4.1.2.2)
  BIGNUM* const serial = BN_bin2bn(random, sizeof random, nullptr);
  BN_to_ASN1_INTEGER(serial, X509_get_serialNumber(certificate.get()));
  BN_free(serial);
  // The validity starts one minute in the past, because the clocks of two hosts may differ a little.
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -60);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), static_cast<long>(lifetime_s));
  X509_NAME* const subject = X509_get_subject_name(certificate.get());
  X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_UTF8,
                             reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
  X509_set_pubkey(certificate.get(), key);
  return certificate;
}

void AddExtension(X509* certificate, X509* issuer, int nid, const char* value) {
  X509V3_CTX context;
  X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
  X509_EXTENSION* const extension = X509V3_EXT_conf_nid(nullptr, &context, nid, value);
  X509_add_ext(certificate, extension, -1);
  X509_EXTENSION_free(extension);
}

std::string PemText(const BIO* bytes) {
  char* data = nullptr;
  const long size = BIO_get_mem_data(const_cast<BIO*>(bytes), &data);
  return std::string(data, static_cast<std::size_t>(size));
}
std::string PemOf(EVP_PKEY* key) {
  const MemoryBuffer out(BIO_new(BIO_s_mem()));
  PEM_write_bio_PrivateKey(out.get(), key, nullptr, nullptr, 0, nullptr, nullptr);
  return PemText(out.get());
}
std::string PemOf(X509* certificate) {
  const MemoryBuffer out(BIO_new(BIO_s_mem()));
  PEM_write_bio_X509(out.get(), certificate);
  return PemText(out.get());
}

void WriteTemporary(const std::string& path, const std::string& text, mode_t mode) {
  const std::string temporary = path + ".next";
  unlink(temporary.c_str());
  const int fd = open(temporary.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
  if (fd < 0) Fail(temporary, std::strerror(errno));
  const bool complete =
      write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()) && fsync(fd) == 0;
  close(fd);
  if (!complete) Fail(temporary, "can't be written");
}
void MoveIntoPlace(const std::string& path) {
  if (rename((path + ".next").c_str(), path.c_str()) != 0) Fail(path, std::strerror(errno));
}

std::FILE* OpenForReading(const std::string& path) {
  std::FILE* const file = std::fopen(path.c_str(), "re");
  if (file == nullptr) Fail(path, std::strerror(errno));
  return file;
}

void CheckName(const std::string& name) {
  const bool valid = !name.empty() && name.size() <= 64 &&
                     name.find_first_not_of(
                         "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == name.npos &&
                     name.front() != '.' && name != "group";
  if (!valid)
    Fail("name", "must be 1 to 64 letters, digits, '-', '_' or '.', and not 'group': '" + name + "'");
}

}  // namespace

void CreateGroupKey(const std::string& folder, const std::string& group, int days) {
  CheckName(group);
  const std::string key_path = folder + "/group.key", certificate_path = folder + "/group.crt";
  if (mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) Fail(folder, std::strerror(errno));
  if (access(key_path.c_str(), F_OK) == 0) Fail(key_path, "already exists; nothing was changed");
  const Key key = GenerateKey();
  const Certificate certificate = NewCertificate(key.get(), "group " + group, std::int64_t{days} * 86400);
  X509_set_issuer_name(certificate.get(), X509_get_subject_name(certificate.get()));
  AddExtension(certificate.get(), certificate.get(), NID_basic_constraints, "critical,CA:TRUE,pathlen:0");
  AddExtension(certificate.get(), certificate.get(), NID_key_usage, "critical,keyCertSign,cRLSign");
  AddExtension(certificate.get(), certificate.get(), NID_subject_key_identifier, "hash");
  if (X509_sign(certificate.get(), key.get(), EVP_sha256()) == 0) Fail(certificate_path, "can't be signed");
  WriteTemporary(key_path, PemOf(key.get()), 0600);
  WriteTemporary(certificate_path, PemOf(certificate.get()), 0644);
  MoveIntoPlace(key_path);
  MoveIntoPlace(certificate_path);
}

void IssueMemberKey(const std::string& folder, const std::string& name, std::int64_t lifetime_s) {
  CheckName(name);
  const std::string key_path = folder + "/group.key", certificate_path = folder + "/group.crt";
  std::FILE* file = OpenForReading(key_path);
  const Key group_key(PEM_read_PrivateKey(file, nullptr, nullptr, nullptr));
  std::fclose(file);
  if (!group_key) Fail(key_path, "contains no private key");
  file = OpenForReading(certificate_path);
  const Certificate issuer(PEM_read_X509(file, nullptr, nullptr, nullptr));
  std::fclose(file);
  if (!issuer) Fail(certificate_path, "contains no certificate");
  const Key key = GenerateKey();
  const Certificate certificate = NewCertificate(key.get(), name, lifetime_s);
  X509_set_issuer_name(certificate.get(), X509_get_subject_name(issuer.get()));
  AddExtension(certificate.get(), issuer.get(), NID_basic_constraints, "critical,CA:FALSE");
  AddExtension(certificate.get(), issuer.get(), NID_key_usage, "critical,digitalSignature");
  AddExtension(certificate.get(), issuer.get(), NID_ext_key_usage, "serverAuth,clientAuth");
  AddExtension(certificate.get(), issuer.get(), NID_authority_key_identifier, "keyid");
  if (X509_sign(certificate.get(), group_key.get(), EVP_sha256()) == 0) Fail(name, "can't be signed");
  const std::string own_key = folder + "/" + name + ".key", own_certificate = folder + "/" + name + ".crt";
  WriteTemporary(own_key, PemOf(key.get()), 0600);
  WriteTemporary(own_certificate, PemOf(certificate.get()), 0644);
  MoveIntoPlace(own_key);
  MoveIntoPlace(own_certificate);
}

}  // namespace oxbowspread::tls
