// Tests of the journal and of its budget without a relay process.
#include "journal/journal.hpp"

#include <stdlib.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <random>

namespace oxbowspread::journal {
namespace {

// A temporary state folder.
class Folder {
 public:
  Folder() {
    char name[] = "/tmp/oxbowspread-journal-XXXXXX";
    path_ = mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& path() const { return path_; }
  std::size_t Bytes() const {
    std::size_t bytes = 0;
    for (const auto& file : std::filesystem::directory_iterator(path_))
      bytes += FolderBudget::CountedBytes(file.file_size());
    return bytes;
  }

 private:
  std::string path_;
};

Message MessageOf(const std::string& id, std::size_t body_bytes) {
  Message message;
  message.id = id;
  message.class_name = "outbound";
  message.class_settings = wheathub::MessageClass();
  message.body = std::string(body_bytes, 'x');
  return message;
}

// Accepts the message if there is room for it.
bool TryAccept(Journal& journal, const Message& message) {
  if (journal.RoomFor(message) != FolderBudget::Room::kFree) return false;
  return journal.Accept(message, journal.Reserve(message));
}

}  // namespace

// Guards against any sequence of changes that overfills the folder or leaves an end without room: names and
// bodies of any length, and kills at any point.
TEST_CASE("a journal stays within its limit and records every end, whatever happens") {
  const std::size_t limit_bytes = GENERATE(250'000, 1'000'000, 3'000'000);
  const unsigned seed = GENERATE(range(1U, 6U));
  CAPTURE(limit_bytes, seed);
  Folder folder;
  std::mt19937 random(seed);
  const auto draw = [&](std::size_t below) { return random() % below; };
  const std::size_t sizes[] = {0, 1, 511, 512, 513, 5000, 64 * 1024};
  auto journal = std::make_unique<Journal>(folder.path(), limit_bytes);
  std::size_t rejected = 0, refused_attempts = 0;
  for (int step = 0; step < 6000; ++step) {
    const auto open_message = [&] {
      auto it = journal->entries().begin();
      std::advance(it, draw(journal->entries().size()));
      return it->first;
    };
    if (draw(3) == 0 || journal->entries().empty()) {
      const std::string id = std::to_string(step) + std::string(draw(120), 'i');
      // Small bodies come in long runs, so that the records beside the bodies fill the folder, too.
      rejected += !TryAccept(*journal, MessageOf(id, step / 1000 % 2 == 0 ? draw(20) : sizes[draw(7)]));
    } else if (const std::string id = open_message(); draw(2) == 0) {
      const Entry& entry = *journal->Find(id);
      if (entry.ending) {
        CHECK(journal->Close(id));
      } else if (entry.open_attempt) {
        CHECK(journal->EndAttempt(id, draw(2) == 0));
      } else {
        refused_attempts += !journal->BeginAttempt(id, {std::string(1 + draw(300), 'h'), 0, Time(step)});
      }
    } else if (draw(3) == 0) {
      CHECK(journal->RecordEnding(id, {draw(2) == 0, 100}));
    } else if (draw(8) == 0) {
      CHECK(journal->Close(id));
    } else if (draw(20) == 0) {
      const std::string host = "host-" + std::to_string(draw(80));
      if (draw(2) == 0) CHECK(journal->IncludeHost(host));
      journal->ExcludeHost(host);
    } else if (draw(40) == 0) {
      journal->RecordIndexNames({{"zone-" + std::string(draw(300), 'z')}, {"kind"}});
    } else if (draw(100) == 0) {
      const std::size_t open_messages = journal->entries().size();
      journal.reset();  // a kill leaves the same file
      journal = std::make_unique<Journal>(folder.path(), limit_bytes);
      CHECK(journal->entries().size() == open_messages);
    }
    REQUIRE(folder.Bytes() <= limit_bytes);
    REQUIRE(journal->budget().peak_bytes() <= limit_bytes);
  }
  CHECK(rejected > 0);
  while (!journal->entries().empty()) REQUIRE(journal->Close(std::string(journal->entries().begin()->first)));
  CHECK(journal->budget().pending_bytes() == 0);
}

// Guards against rewrites that are repeated for each record although they win nothing.
TEST_CASE("a full journal is rewritten only after the slack of its limit has been appended") {
  constexpr std::size_t kLimitBytes = 1'000'000;
  Folder folder;
  Journal journal(folder.path(), kLimitBytes);
  const std::uint64_t first_rewrites = journal.rewrites();
  int count = 0;
  while (TryAccept(journal, MessageOf("m" + std::to_string(count), 10'000))) ++count;
  CHECK(count >= 45);
  CHECK(journal.rewrites() == first_rewrites);
  constexpr int kAttempts = 2000;
  for (int i = 0; i < kAttempts; ++i) {
    const std::string id = "m" + std::to_string(i % count);
    REQUIRE(journal.BeginAttempt(id, {"host", 0, Time(1)}));
    REQUIRE(journal.EndAttempt(id, false));
  }
  constexpr std::size_t kMaxBytesPerAttempt = 100;
  CHECK(journal.rewrites() - first_rewrites <= kAttempts * kMaxBytesPerAttempt / (kLimitBytes / 64) + 1);
}

// Guards against room that is kept for messages which were rejected or withdrawn.
TEST_CASE("a reservation counts until it is destroyed, and again once its message is recorded") {
  Folder folder;
  Journal journal(folder.path(), 250'000);
  const Message message = MessageOf("m", 64'000), other = MessageOf("n", 64'000);
  {
    const Journal::Reservation reservation = journal.Reserve(message);
    CHECK(journal.RoomFor(other) == FolderBudget::Room::kAfterPending);
  }
  CHECK(journal.RoomFor(other) == FolderBudget::Room::kFree);
  REQUIRE(journal.Accept(message, journal.Reserve(message)));
  CHECK(journal.budget().pending_bytes() == 0);
  CHECK(journal.RoomFor(other) == FolderBudget::Room::kNone);
  CHECK(journal.Close("m"));
  CHECK(journal.RoomFor(other) == FolderBudget::Room::kFree);
}

// Guards against files of others in the folder, which count as well.
TEST_CASE("other files in the folder leave less room for messages") {
  Folder folder;
  std::filesystem::create_directories(folder.path());
  { Journal(folder.path(), 250'000); }
  std::filesystem::copy_file(folder.path() + "/journal", folder.path() + "/kept");
  std::filesystem::resize_file(folder.path() + "/kept", 200'000);
  Journal journal(folder.path(), 250'000);
  CHECK(journal.RoomFor(MessageOf("m", 60'000)) == FolderBudget::Room::kNone);
  CHECK(TryAccept(journal, MessageOf("n", 10'000)));
}

// Guards against a lost attempt that may have run, where the file was too large to be rewritten at the start.
TEST_CASE("an attempt without an end counts as uncertain after two kills without a rewrite") {
  Folder folder;
  {
    Journal journal(folder.path(), 3'000'000);
    REQUIRE(TryAccept(journal, MessageOf("m", 60'000)));
    REQUIRE(journal.BeginAttempt("m", {"first", 0, Time(1)}));
  }
  constexpr std::size_t kLowLimitBytes = 70'000;
  {
    Journal journal(folder.path(), kLowLimitBytes);
    CHECK(journal.rewrites() == 0);
    REQUIRE(journal.BeginAttempt("m", {"second", 1, Time(2)}));
  }
  Journal journal(folder.path(), kLowLimitBytes);
  REQUIRE(journal.Find("m")->first_uncertain);
  CHECK(journal.Find("m")->first_uncertain->host == "first");
  CHECK(journal.Find("m")->attempts == 2);
}

}  // namespace oxbowspread::journal
