// Findings: the errors in an input, such as a settings file, each with its
// location. All errors of an input are collected and reported together.
#pragma once
#include <compare>
#include <string>
#include <utility>
#include <vector>

namespace radishyard {

/// \brief One error in an input.
struct finding {
  std::string place;   ///< JSON pointer into the input, such as
                       ///< "/upstreams/3/weight"; "" is the whole input.
  std::string reason;  ///< Description of the error, without a full stop.
  auto operator<=>(const finding&) const = default;
};

/// \brief A list of findings, in the order in which they were added.
///
/// \code
/// findings found;
/// if (row.weight < 0) found.Add("/upstreams/0/weight", "is negative");
/// if (!found.empty()) std::cerr << found.Text();
/// \endcode
class findings {
 public:
  void Add(std::string place, std::string reason) {
    list_.push_back({std::move(place), std::move(reason)});
  }
  void Append(const findings& other) {
    list_.insert(list_.end(), other.list_.begin(), other.list_.end());
  }
  bool empty() const { return list_.empty(); }
  size_t size() const { return list_.size(); }
  const std::vector<finding>& list() const { return list_; }

  /// \brief Formats one line for each finding: place, colon, reason. The place
  /// of the whole input is written as "/".
  std::string Text() const;

 private:
  std::vector<finding> list_;
};

}  // namespace radishyard
