/// Check of text from outside.
#pragma once

#include <string_view>

namespace quetzalvale {

/// Returns whether the text is valid UTF-8. The JSON writer replaces anything else, so that such a
/// text would arrive as another one.
bool IsUtf8(std::string_view text);

}  // namespace quetzalvale
