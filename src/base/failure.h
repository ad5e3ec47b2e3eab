// The reason for a failure of a function that returns an empty std::optional.
#pragma once
#include <string>

namespace radishyard {

/// \brief Kinds of failure that a calling function may handle differently.
enum class failure_kind {
  kNone,
  kInvalid,      ///< The input is malformed; a retry fails again.
  kNotFound,     ///< The object does not exist.
  kConflict,     ///< A conditional update found another version.
  kUnavailable,  ///< The operation was certainly not carried out, for example
                 ///< because the connection was refused.
  kUnknown,      ///< No reply was received: the operation may or may not have
                 ///< been carried out.
};

/// \brief Kind and text of a failure, set by a function that returns an empty
/// optional.
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
