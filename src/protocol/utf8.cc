#include "protocol/utf8.h"

#include <boost/locale/utf.hpp>

namespace quetzalvale {

bool IsUtf8(std::string_view text) {
  namespace utf = boost::locale::utf;
  const char* next = text.data();
  const char* const end = next + text.size();
  while (next != end) {
    const utf::code_point point = utf::utf_traits<char>::decode(next, end);
    if (point == utf::illegal || point == utf::incomplete) {
      return false;
    }
  }
  return true;
}

}  // namespace quetzalvale
