// Loads the services that operators describe in files and folders.
#pragma once
#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "base/finding.h"
#include "table/table_json.h"

namespace radishyard {

/// \brief A file and the service that it describes.
struct loaded_file {
  std::string path;
  service_file content;
  auto operator<=>(const loaded_file&) const = default;
};

/// \brief Reads files; of folders, all "*.json" files in order of their names.
///
/// The place of a finding in a file is "PATH#POINTER" with a JSON pointer. Two
/// files with the same service are a finding, as is every conflict between two
/// of the services.
std::vector<loaded_file> LoadFiles(const std::vector<std::string>& paths,
                                   findings& found);

/// \brief Adds to `found` the conflicts between two of `services` of which at
/// least one comes from `files`.
void CheckConflicts(const std::vector<loaded_file>& files,
                    const std::vector<service>& services, findings& found);

}  // namespace radishyard
