#include "ctl/validate.h"

#include <utility>

#include "ctl/input_file.h"
#include "settings/service_document.h"

namespace quetzalvale {

Validate::Validate(std::string file, std::ostream& out, std::ostream& err)
    : file(std::move(file)), out(out), err(err) {}

ExitCode Validate::Run() {
  const auto document = ReadJsonFile(this->file);
  if (!IsOk(document)) {
    this->err << GetError(document).message << "\n";
    return ExitCode::kInvalid;
  }
  const auto decoded = DecodeServiceDocument(std::get<Json::Value>(document), this->file);
  if (!IsOk(decoded)) {
    this->err << GetError(decoded).message << "\n";
    return ExitCode::kInvalid;
  }
  this->out << this->file << ": valid document of service "
            << std::get<ServiceConfiguration>(decoded).service << "\n";
  return ExitCode::kDone;
}

}  // namespace quetzalvale
