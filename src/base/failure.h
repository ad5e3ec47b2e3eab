// Why a call gave no value: the last reason that goes with an empty
// std::optional.
#pragma once
#include <string>

namespace radishyard {

/// \brief Classes of failure that a caller may act upon.
enum class failure_kind {
  kNone,
  kInvalid,      ///< The input is malformed; trying again does not help.
  kNotFound,     ///< The object does not exist.
  kConflict,     ///< A conditional update found another version.
  kUnavailable,  ///< Certainly not carried out (for example: the connection was
                 ///< refused).
  kUnknown,      ///< No answer: it may or may not have been carried out.
};

/// \brief The last reason of a call that returned an empty optional.
///
/// \code
/// failure why;
/// std::optional<service> s = ParseService(text, why);
/// if (!s) Log(why.text);
/// \endcode
struct failure {
  failure_kind kind = failure_kind::kNone;
  std::string text;
  bool operator==(const failure&) const = default;
};

}  // namespace radishyard
