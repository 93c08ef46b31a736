/// Temporary folder of one scenario, with process settings and logs.
#pragma once

#include <filesystem>
#include <ostream>
#include <string>

namespace quetzalvale {

/// Removed at destruction unless kept.
class WorkFolder {
 public:
  /// Throws std::filesystem::filesystem_error when the folder cannot be made.
  WorkFolder();
  ~WorkFolder();
  WorkFolder(const WorkFolder&) = delete;
  WorkFolder& operator=(const WorkFolder&) = delete;

  std::string Path(const std::string& file) const { return this->folder / file; }

  /// Writes the text and returns the file's path.
  std::string Write(const std::string& file, const std::string& text) const;

  void Keep() { this->kept = true; }

  /// Prints the last lines of every log.
  void PrintLogs(std::ostream& out, std::size_t lines_per_log) const;

 private:
  std::filesystem::path folder;
  bool kept = false;
};

}  // namespace quetzalvale
