// Lists the files of folders, reads them and reports all findings together.
#include "ctl/service_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <utility>

#include "table/json_check.h"
#include "table/table_check.h"

namespace radishyard {
namespace {

namespace fs = std::filesystem;

std::vector<std::string> ListFiles(const std::string& path, findings& found) {
  std::error_code error;
  if (!fs::is_directory(path, error)) return {path};
  std::vector<std::string> files;
  for (const fs::directory_entry& entry : fs::directory_iterator(path, error)) {
    if (entry.path().extension() == ".json")
      files.push_back(entry.path().string());
  }
  if (error) found.Add(path, "cannot be listed: " + error.message());
  if (!error && files.empty()) found.Add(path, "has no *.json file");
  std::sort(files.begin(), files.end());
  return files;
}

// Returns the content of a file. Reads at most one byte more than a document
// may have, so that the parser rejects a file that is too long.
std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string text(internal::kMaxDocumentBytes + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad() || (in.gcount() == 0 && !in.eof())) return std::nullopt;
  text.resize(static_cast<size_t>(in.gcount()));
  return text;
}

void LoadFile(const std::string& path, std::vector<loaded_file>& files,
              findings& found) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) return found.Add(path, "cannot be read");
  findings file_findings;
  std::optional<service_file> content = ParseServiceFile(*text, file_findings);
  for (const finding& f : file_findings.list())
    found.Add(path + "#" + f.place, f.reason);
  if (content) files.push_back({path, std::move(*content)});
}

void CheckDuplicateNames(const std::vector<loaded_file>& files,
                         findings& found) {
  std::map<std::string, std::string> paths;
  for (const loaded_file& file : files) {
    const auto [it, is_new] =
        paths.try_emplace(file.content.value.name, file.path);
    if (!is_new)
      found.Add(file.path + "#/service", "is the service of " + it->second);
  }
}

}  // namespace

std::vector<loaded_file> LoadFiles(const std::vector<std::string>& paths,
                                   findings& found) {
  std::vector<loaded_file> files;
  for (const std::string& path : paths) {
    for (const std::string& file : ListFiles(path, found))
      LoadFile(file, files, found);
  }
  CheckDuplicateNames(files, found);
  std::vector<service> services;
  services.reserve(files.size());
  for (const loaded_file& file : files) services.push_back(file.content.value);
  CheckConflicts(files, services, found);
  return files;
}

void CheckConflicts(const std::vector<loaded_file>& files,
                    const std::vector<service>& services, findings& found) {
  std::map<std::string, std::string> paths;
  for (const loaded_file& file : files)
    paths[file.content.value.name] = file.path;
  std::vector<const service*> service_pointers;
  service_pointers.reserve(services.size());
  for (const service& s : services) service_pointers.push_back(&s);
  for (const table_conflict& c : FindConflicts(service_pointers)) {
    if (!paths.contains(c.first_service) && !paths.contains(c.second_service))
      continue;
    finding f = ToFinding(c);
    found.Add(std::move(f.place), std::move(f.reason));
  }
}

}  // namespace radishyard
