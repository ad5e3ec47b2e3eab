// Formats findings as text.
#include "base/finding.h"

namespace radishyard {

std::string findings::Text() const {
  std::string text;
  for (const finding& f : list_) {
    text += f.place.empty() ? "/" : f.place;
    text += ": " + f.reason + "\n";
  }
  return text;
}

}  // namespace radishyard
