#include "journal/folder_budget.hpp"

#include <algorithm>

namespace oxbowspread::journal {
namespace {

constexpr std::size_t kBlockBytes = 512;  // files count in whole blocks of this size
// The slack is the limit divided by this number.
constexpr std::size_t kSlackDivisor = 32;
// A file above this share of the limit is rewritten as soon as it has the slack to lose, since files count as
// memory.
constexpr double kMaxIdleFileShare = 0.45;

}  // namespace

std::size_t FolderBudget::CountedBytes(std::size_t file_bytes) {
  return (file_bytes + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
}

std::size_t FolderBudget::slack_bytes() const { return limit_bytes_ / kSlackDivisor; }

// Returns whether the limit has room for two files of that size and the slack.
bool FolderBudget::FitsTwice(std::size_t bytes, std::size_t slack_bytes) const {
  return 2 * CountedBytes(bytes) + slack_bytes <= limit_bytes_;
}

FolderBudget::Room FolderBudget::RoomForMessage(std::size_t bytes) const {
  if (!CanRewrite()) return Room::kNone;
  if (FitsTwice(reserved_bytes() + bytes, slack_bytes())) return Room::kFree;
  return FitsTwice(recorded_bytes_ + bytes, slack_bytes()) ? Room::kAfterPending : Room::kNone;
}

bool FolderBudget::HasRoomForNames(std::size_t bytes) const {
  return FitsTwice(reserved_bytes() + bytes, slack_bytes() / 2) ||
         !FitsTwice(reserved_bytes(), slack_bytes() / 2);
}

void FolderBudget::SetFileBytes(std::size_t bytes) {
  file_bytes_ = bytes;
  peak_bytes_ = std::max(peak_bytes_, CountedBytes(bytes));
}

void FolderBudget::RecordRewrite(std::size_t next_file_bytes) {
  peak_bytes_ = std::max(peak_bytes_, CountedBytes(file_bytes_) + CountedBytes(next_file_bytes));
  file_bytes_ = rewritten_file_bytes_ = next_file_bytes;
}

// Returns whether a rewrite is worth its work. A file above half of the limit can't have been rewritten while
// condition 1 held, so its growth counts from there.
bool FolderBudget::HasGrownSinceRewrite(std::size_t new_file_bytes) const {
  return new_file_bytes >= std::min(rewritten_file_bytes_, limit_bytes_ / 2) + slack_bytes() / 2;
}

FolderBudget::AppendPlan FolderBudget::PlanAppend(std::size_t record_bytes, std::size_t growth_bytes) const {
  const std::size_t new_file_bytes = file_bytes_ + record_bytes;
  const std::size_t reserved_bytes = this->reserved_bytes() + growth_bytes;
  if (CountedBytes(new_file_bytes) + CountedBytes(reserved_bytes) <= limit_bytes_) {
    const bool is_large =
        static_cast<double>(new_file_bytes) > kMaxIdleFileShare * static_cast<double>(limit_bytes_);
    const bool is_worthwhile = file_bytes_ >= recorded_bytes_ + slack_bytes();
    return is_large && is_worthwhile ? AppendPlan::kRewriteFirst : AppendPlan::kAppend;
  }
  if (CanRewrite() && HasGrownSinceRewrite(new_file_bytes)) return AppendPlan::kRewriteFirst;
  if (CanAppend(record_bytes)) return AppendPlan::kAppend;
  return CanRewrite() || MustShrink() ? AppendPlan::kRewriteFirst : AppendPlan::kAppend;
}

bool FolderBudget::CanAppend(std::size_t record_bytes) const {
  return CountedBytes(file_bytes_ + record_bytes) <= limit_bytes_;
}

bool FolderBudget::CanRewrite() const {
  return CountedBytes(file_bytes_) + CountedBytes(recorded_bytes_) <= limit_bytes_;
}

bool FolderBudget::MustShrink() const {
  return CountedBytes(file_bytes_) > limit_bytes_ && FitsTwice(recorded_bytes_, 0);
}

}  // namespace oxbowspread::journal
