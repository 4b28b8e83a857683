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

constexpr int kSendBufferBytes = 512 * 1024;  // must hold the largest packet
// The largest packet is a ClientTransfer, which contains the client's buffers and an incomplete command.
constexpr std::size_t kMaxPacketBytes = 256 * 1024;
constexpr timeval kSendTimeout{0, 150'000};

std::string SocketPath(const std::string& folder) { return folder + "/handover"; }

bool MakeAddress(const std::string& path, sockaddr_un* address) {
  *address = {};
  address->sun_family = AF_UNIX;
  if (path.size() >= sizeof address->sun_path) return false;
  std::memcpy(address->sun_path, path.data(), path.size());
  return true;
}

int ConnectTo(const std::string& path) {
  sockaddr_un address{};
  if (!MakeAddress(path, &address)) return -1;
  const int fd = socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0);
  if (fd >= 0 && connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  if (fd >= 0) close(fd);
  return -1;
}

}  // namespace

Channel::Channel(int fd) : fd_(fd) {
  setsockopt(fd_, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof kSendBufferBytes);
  setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &kSendTimeout, sizeof kSendTimeout);
}

std::optional<Channel> Channel::Connect(const std::string& folder) {
  const int fd = ConnectTo(SocketPath(folder));
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
  iovec buffer{bytes.data(), bytes.size()};
  msghdr message{};
  message.msg_iov = &buffer;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof fd)] = {};
  if (fd >= 0) {
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    cmsghdr* const header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof fd);
    std::memcpy(CMSG_DATA(header), &fd, sizeof fd);
  }
  ssize_t count = 0;
  do {
    count = sendmsg(fd_, &message, MSG_NOSIGNAL);
  } while (count < 0 && errno == EINTR);
  ended_ = ended_ || count < 0;
  return count >= 0;
}

std::optional<Received> Channel::Receive(Timeout timeout) {
  if (fd_ < 0) return std::nullopt;
  pollfd poll_entry{fd_, POLLIN, 0};
  if (poll(&poll_entry, 1, static_cast<int>(timeout.count())) <= 0) return std::nullopt;
  std::string bytes(kMaxPacketBytes, '\0');
  iovec buffer{bytes.data(), bytes.size()};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &buffer;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const ssize_t count = recvmsg(fd_, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return std::nullopt;
  int fd = -1;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); count > 0 && header != nullptr;
       header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_type == SCM_RIGHTS) std::memcpy(&fd, CMSG_DATA(header), sizeof fd);
  }
  try {
    if (count > 0)
      return Received{FromBytes(std::string_view(bytes.data(), static_cast<std::size_t>(count))), fd};
  } catch (const std::invalid_argument&) {
    if (fd >= 0) close(fd);
  }
  ended_ = true;  // the peer has closed the connection or sent an invalid packet
  return std::nullopt;
}

ChannelListener::ChannelListener(net::Loop& loop, const std::string& folder, ConnectHandler on_connect)
    : path_(SocketPath(folder)), on_connect_(std::move(on_connect)), io_(loop.ref()) {
  sockaddr_un address{};
  if (!MakeAddress(path_, &address))
    throw std::system_error(ENAMETOOLONG, std::generic_category(), "handover");
  // Only the process that holds the lock of the folder may listen here.
  unlink(path_.c_str());
  fd_ = socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const mode_t previous_umask = umask(0177);
  const bool bound = fd_ >= 0 && bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  const int error = errno;
  umask(previous_umask);
  if (!bound || listen(fd_, 4) != 0) {
    if (fd_ >= 0) close(fd_);
    throw std::system_error(bound ? errno : error, std::generic_category(), "handover");
  }
  io_.set<ChannelListener, &ChannelListener::OnIo>(this);
  io_.start(fd_, ev::READ);
}

void ChannelListener::Close() {
  io_.stop();
  if (fd_ < 0) return;
  close(std::exchange(fd_, -1));
  unlink(path_.c_str());
}

void ChannelListener::OnIo(ev::io&, int) {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
  if (fd >= 0) on_connect_(Channel(fd));
}

}  // namespace oxbowspread::handover
