#include "scenario/work_folder.h"

#include <unistd.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <set>
#include <system_error>

namespace quetzalvale {

WorkFolder::WorkFolder() {
  std::string pattern = std::filesystem::temp_directory_path() / "quetzalvale-scenario-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::filesystem::filesystem_error("cannot make a temporary folder", pattern,
                                            std::error_code(errno, std::generic_category()));
  }
  this->folder = pattern;
}

WorkFolder::~WorkFolder() {
  if (!this->kept) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
}

std::string WorkFolder::Write(const std::string& file, const std::string& text) const {
  std::string path = this->Path(file);
  std::ofstream(path) << text;
  return path;
}

void WorkFolder::PrintLogs(std::ostream& out, std::size_t lines_per_log) const {
  std::set<std::filesystem::path> logs;
  for (const auto& file : std::filesystem::directory_iterator(this->folder)) {
    if (file.path().extension() == ".log") {
      logs.insert(file.path());
    }
  }
  for (const auto& log : logs) {
    std::ifstream stream(log);
    std::deque<std::string> last;
    for (std::string line; std::getline(stream, line);) {
      last.push_back(line);
      if (last.size() > lines_per_log) {
        last.pop_front();
      }
    }
    out << "---- last lines of " << log.filename().string() << "\n";
    for (const std::string& line : last) {
      out << line << "\n";
    }
  }
}

}  // namespace quetzalvale
