#include "handover/channel.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace oxbowspread::handover {
namespace {

constexpr int kBuffer = 512 * 1024;          // a packet must fit
constexpr std::size_t kPacket = 256 * 1024;  // of a client: rings and a command
constexpr timeval kSendWithin{0, 150'000};

std::string PathIn(const std::string& folder) { return folder + "/handover"; }

bool AddressOf(const std::string& path, sockaddr_un* a) {
  *a = {};
  a->sun_family = AF_UNIX;
  if (path.size() >= sizeof a->sun_path) return false;
  std::memcpy(a->sun_path, path.data(), path.size());
  return true;
}

int ConnectTo(const std::string& path) {
  sockaddr_un to{};
  if (!AddressOf(path, &to)) return -1;
  const int fd = socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0);
  if (fd >= 0 && connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return fd;
  if (fd >= 0) close(fd);
  return -1;
}

}  // namespace

Channel::Channel(int fd) : fd_(fd) {
  setsockopt(fd_, SOL_SOCKET, SO_SNDBUF, &kBuffer, sizeof kBuffer);
  setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &kSendWithin, sizeof kSendWithin);
}

std::optional<Channel> Channel::Connect(const std::string& folder) {
  const int fd = ConnectTo(PathIn(folder));
  if (fd < 0) return std::nullopt;
  return Channel(fd);
}

Channel::Channel(Channel&& other) noexcept : fd_(std::exchange(other.fd_, -1)), ended_(other.ended_) {}

void Channel::Close() {
  ended_ = true;
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

bool Channel::Send(const Packet& packet, int fd) {
  if (fd_ < 0) return false;
  std::string bytes = ToBytes(packet);
  iovec part{bytes.data(), bytes.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char beside[CMSG_SPACE(sizeof fd)] = {};
  if (fd >= 0) {
    message.msg_control = beside;
    message.msg_controllen = sizeof beside;
    cmsghdr* const c = CMSG_FIRSTHDR(&message);
    c->cmsg_level = SOL_SOCKET;
    c->cmsg_type = SCM_RIGHTS;
    c->cmsg_len = CMSG_LEN(sizeof fd);
    std::memcpy(CMSG_DATA(c), &fd, sizeof fd);
  }
  ssize_t count = 0;
  do {
    count = sendmsg(fd_, &message, MSG_NOSIGNAL);
  } while (count < 0 && errno == EINTR);
  ended_ = ended_ || count < 0;
  return count >= 0;
}

std::optional<Received> Channel::Receive(Limit limit) {
  if (fd_ < 0) return std::nullopt;
  pollfd p{fd_, POLLIN, 0};
  if (poll(&p, 1, static_cast<int>(limit.count())) <= 0) return std::nullopt;
  std::string bytes(kPacket, '\0');
  iovec part{bytes.data(), bytes.size()};
  alignas(cmsghdr) char beside[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = beside;
  message.msg_controllen = sizeof beside;
  const ssize_t count = recvmsg(fd_, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return std::nullopt;
  int fd = -1;
  for (cmsghdr* c = CMSG_FIRSTHDR(&message); count > 0 && c != nullptr; c = CMSG_NXTHDR(&message, c)) {
    if (c->cmsg_type == SCM_RIGHTS) std::memcpy(&fd, CMSG_DATA(c), sizeof fd);
  }
  try {
    if (count > 0)
      return Received{FromBytes(std::string_view(bytes.data(), static_cast<std::size_t>(count))), fd};
  } catch (const std::invalid_argument&) {
    if (fd >= 0) close(fd);
  }
  ended_ = true;  // or nothing that can be understood comes
  return std::nullopt;
}

Port::Port(net::Loop& loop, const std::string& folder, Asked asked)
    : path_(PathIn(folder)), asked_(std::move(asked)), io_(loop.ref()) {
  sockaddr_un at{};
  if (!AddressOf(path_, &at)) throw std::system_error(ENAMETOOLONG, std::generic_category(), "handover");
  // Whoever holds the folder's lock is the only one who may stand here.
  unlink(path_.c_str());
  fd_ = socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const mode_t before = umask(0177);
  const bool bound = fd_ >= 0 && bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
  const int error = errno;
  umask(before);
  if (!bound || listen(fd_, 4) != 0) {
    if (fd_ >= 0) close(fd_);
    throw std::system_error(bound ? errno : error, std::generic_category(), "handover");
  }
  io_.set<Port, &Port::OnIo>(this);
  io_.start(fd_, ev::READ);
}

void Port::Close() {
  io_.stop();
  if (fd_ < 0) return;
  close(std::exchange(fd_, -1));
  unlink(path_.c_str());
}

void Port::OnIo(ev::io&, int) {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
  if (fd >= 0) asked_(Channel(fd));
}

}  // namespace oxbowspread::handover
