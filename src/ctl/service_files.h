// The operators' files: services read from files and folders.
#pragma once
#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "base/finding.h"
#include "table/table_json.h"

namespace radishyard {

/// \brief A file with the service in it.
struct named_file {
  std::string path;
  service_file content;
  auto operator<=>(const named_file&) const = default;
};

/// \brief Reads files, and the "*.json" files of folders in order of name.
///
/// Findings are placed at "PATH#POINTER". Two files with the same service are a
/// finding, as is every clash among the services.
std::vector<named_file> LoadFiles(const std::vector<std::string>& paths,
                                  findings& found);

/// \brief Adds the clashes among `services` that involve a service of `files`.
void CheckConflicts(const std::vector<named_file>& files,
                    const std::vector<service>& services, findings& found);

}  // namespace radishyard
