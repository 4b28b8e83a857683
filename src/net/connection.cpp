#include "net/connection.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <system_error>
#include <utility>

namespace oxbowspread::net {
namespace {
void NoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}
bool UnixAddress(const std::string& path, sockaddr_un* address) {
  *address = {};
  address->sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address->sun_path) return false;
  std::memcpy(address->sun_path, path.data(), path.size());
  return true;
}
// Of libev's five: those served first, and what comes on any connection. All else has 0.
constexpr int kFirst = EV_MAXPRI, kIncoming = 1;
bool Again(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }
}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == text.npos) return std::nullopt;
  Address address{};
  address.sin_family = AF_INET;
  unsigned port = 0;
  const char* const end = text.data() + text.size();
  const auto [at, code] = std::from_chars(text.data() + colon + 1, end, port);
  if (code != std::errc() || at != end || port > 65535) return std::nullopt;
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

std::string AddressText(const Address& address) {
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

Connection::Connection(Loop& loop, int fd, User& user, std::size_t limit)
    : loop_(loop), user_(user), fd_(fd), in_(limit), out_(limit), io_(loop.ref()) {
  NoDelay(fd);
  io_.set<Connection, &Connection::OnIo>(this);
  Watch();
}

std::unique_ptr<Connection> Connection::Open(Loop& loop, const Address& to, User& user, std::size_t limit) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  return Start(loop, fd, reinterpret_cast<const sockaddr*>(&to), sizeof to, user, limit);
}

std::unique_ptr<Connection> Connection::OpenUnix(Loop& loop, const std::string& path, User& user,
                                                 std::size_t limit) {
  sockaddr_un to{};
  if (!UnixAddress(path, &to)) return nullptr;
  const int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  return Start(loop, fd, reinterpret_cast<const sockaddr*>(&to), sizeof to, user, limit);
}

std::unique_ptr<Connection> Connection::Start(Loop& loop, int fd, const sockaddr* to, socklen_t size,
                                              User& user, std::size_t limit) {
  if (fd < 0) return nullptr;
  auto connection = std::make_unique<Connection>(loop, fd, user, limit);
  connection->connecting_ = true;
  connection->Watch();
  if (connect(fd, to, size) != 0 && errno != EINPROGRESS) {
    connection->broken_ = true;
    connection->io_.feed_event(ev::WRITE);  // told from the loop, as any other failure
  }
  return connection;
}

void Connection::Watch() {
  if (fd_ < 0) return;
  const bool reading = !connecting_ && !in_.full();
  const bool writing = connecting_ || !out_.empty();
  const int events = (reading ? ev::READ : 0) | (writing ? ev::WRITE : 0);
  io_.stop();  // a watcher's priority may only change while it rests
  io_.priority = first_ ? kFirst : connecting_ ? 0 : kIncoming;
  if (events != 0) io_.start(fd_, events);
}

bool Connection::Send(std::string_view bytes) {
  if (fd_ < 0 || broken_ || ending_ || !out_.Append(bytes)) return false;
  if (connecting_) return true;
  if (!Flush()) {
    // Told to the user from the loop: the caller is in the middle of something.
    broken_ = true;
    io_.feed_event(ev::READ);
    return false;
  }
  Watch();
  return true;
}

bool Connection::Flush() {
  while (!out_.empty()) {
    const std::string_view front = out_.Front();
    // Without MSG_NOSIGNAL a client that has left would end the whole relay by SIGPIPE.
    const ssize_t count = send(fd_, front.data(), front.size(), MSG_NOSIGNAL);
    if (count < 0) return Again(errno);
    out_.Consume(static_cast<std::size_t>(count));
  }
  return true;
}

void Connection::OnIo(ev::io&, int events) {
  if (fd_ < 0) return;
  if (broken_) return Lose();
  if ((events & ev::WRITE) != 0) OnWritable();
  if (fd_ >= 0 && (events & ev::READ) != 0) OnReadable();
}

void Connection::OnWritable() {
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return Lose();
    connecting_ = false;
    Watch();
    user_.OnConnected();
    if (fd_ < 0 || broken_) return;
  }
  if (!Flush()) return Lose();
  Watch();
}

void Connection::OnReadable() {
  if (ending_) return OnReadableAtEnd();
  bool ended = false;
  while (!ended) {
    const std::span<char> space = in_.Space();
    if (space.empty()) break;
    const ssize_t count = recv(fd_, space.data(), space.size(), 0);
    if (count < 0 && Again(errno)) break;
    ended = count <= 0;
    if (count > 0) in_.Commit(static_cast<std::size_t>(count));
    if (count > 0 && static_cast<std::size_t>(count) < space.size()) break;
  }
  if (!in_.empty()) user_.OnBytes(in_);
  if (fd_ < 0) return;
  if (ended) return Lose();
  if (!ending_) Watch();
}

// Whether the other side has ended it too. Bytes that crossed the end stay unread; with them in the way its
// end can't be seen.
void Connection::OnReadableAtEnd() {
  char byte = 0;
  const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) return io_.stop();
  if (count == 0 || !Again(errno)) Lose();
}

void Connection::ReadNow() {
  if (fd_ < 0 || connecting_) return;
  if (broken_) return Lose();
  OnReadable();
}

bool Connection::EndSending() {
  if (fd_ < 0 || connecting_ || broken_ || !out_.empty()) return false;
  if (std::exchange(ending_, true)) return true;
  if (shutdown(fd_, SHUT_WR) != 0) {
    ending_ = false;
    return false;
  }
  io_.stop();
  io_.start(fd_, ev::READ);
  return true;
}

Connection::Rest Connection::rest() const { return {fd_, in_.Text(), out_.Text()}; }

void Connection::TakeUp(std::string_view in, std::string_view out) {
  in_.Append(in);
  Send(out);
}

void Connection::Resume() {
  if (ending_) return;
  if (fd_ >= 0 && !in_.empty()) user_.OnBytes(in_);
  if (!ending_) Watch();
}

void Connection::First() {
  first_ = true;
  Watch();
}

bool Connection::Quiet() const {
  char byte = 0;
  return fd_ >= 0 && !broken_ && recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && Again(errno);
}

bool Connection::Ended() const {
  char byte = 0;
  if (fd_ < 0 || broken_) return true;
  const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && !Again(errno));
}

void Connection::Lose() {
  if (fd_ < 0) return;
  Close();
  user_.OnClosed();
}

void Connection::Close() {
  io_.stop();
  if (fd_ >= 0) close(std::exchange(fd_, -1));
}

Listener::Listener(Loop& loop, const Address& address, Accepted accepted)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      spare_(open("/dev/null", O_RDONLY | O_CLOEXEC)),
      accepted_(std::move(accepted)),
      io_(loop.ref()) {
  const int on = 1;
  // A restarted relay takes its address back while old connections still linger in the system.
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd_, 511) != 0) {
    const int error = errno;
    Close();
    throw std::system_error(error, std::generic_category(), "listen");
  }
  Start();
}

Listener::Listener(Loop& loop, const std::string& path, Accepted accepted)
    : fd_(socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      spare_(open("/dev/null", O_RDONLY | O_CLOEXEC)),
      accepted_(std::move(accepted)),
      io_(loop.ref()) {
  sockaddr_un address{};
  const auto fail = [this](int error, const char* what) {
    Close();
    throw std::system_error(error, std::generic_category(), what);
  };
  if (!UnixAddress(path, &address)) fail(ENAMETOOLONG, "control socket");
  const auto* const at = reinterpret_cast<const sockaddr*>(&address);
  struct stat there {};
  if (lstat(path.c_str(), &there) == 0) {
    if (!S_ISSOCK(there.st_mode)) fail(EEXIST, "control socket: what stands there is no socket");
    const int probe = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool taken = connect(probe, at, sizeof address) == 0 || errno == EAGAIN;
    close(probe);
    if (taken) fail(EADDRINUSE, "control socket");
    unlink(path.c_str());
  }
  const mode_t before = umask(0177);
  const bool bound = bind(fd_, at, sizeof address) == 0;
  const int error = errno;
  umask(before);
  if (!bound) fail(error, "control socket");
  path_ = path;
  if (listen(fd_, 64) != 0) fail(errno, "control socket");
  Start();
}

void Listener::Check(int fd) {
  int listens = 0;
  socklen_t size = sizeof listens;
  const bool socket = getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0;
  if (!socket || listens == 0) {
    throw std::system_error(socket ? EINVAL : errno, std::generic_category(), "no listening socket");
  }
}

Listener::Listener(Loop& loop, int fd, Accepted accepted)
    : fd_(-1), spare_(-1), accepted_(std::move(accepted)), io_(loop.ref()) {
  Check(fd);
  // A descriptor of its own: the one that was handed in stays for whoever comes next.
  fd_ = fcntl(fd, F_DUPFD_CLOEXEC, 0);
  if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "listen");
  fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
  spare_ = open("/dev/null", O_RDONLY | O_CLOEXEC);
  Start();
}

void Listener::Start() {
  io_.set<Listener, &Listener::OnIo>(this);
  Resume();
}

void Listener::First() {
  io_.stop();
  io_.priority = kFirst;
  Resume();
}

void Listener::Resume() {
  if (fd_ >= 0 && !io_.is_active()) io_.start(fd_, ev::READ);
}

void Listener::Close() {
  io_.stop();
  if (fd_ >= 0) close(std::exchange(fd_, -1));
  if (spare_ >= 0) close(std::exchange(spare_, -1));
  if (!path_.empty()) unlink(std::exchange(path_, {}).c_str());
}

void Listener::OnIo(ev::io&, int) { AcceptWaiting(64); }

void Listener::AcceptWaiting(int most) {
  for (int i = 0; i < most && io_.is_active(); ++i) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      accepted_(fd);
      continue;
    }
    if (errno == ECONNABORTED || errno == EINTR) continue;
    if (errno != EMFILE && errno != ENFILE) return;
    // Out of descriptors: an unaccepted client would wake the loop for ever, so it is turned away.
    close(std::exchange(spare_, -1));
    const int turned_away = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (turned_away >= 0) close(turned_away);
    spare_ = open("/dev/null", O_RDONLY | O_CLOEXEC);
    return;
  }
}

}  // namespace oxbowspread::net
