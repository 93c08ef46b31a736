/// Addresses of entries in the platform's table.
#pragma once

#include <string>
#include <vector>

#include "core/messages.h"
#include "store/table_client.h"

namespace quetzalvale {

/// Rows: table `entries`, key = inner address, value = {incarnation, name, data_centre}. Keyed by
/// address so that a replaced process overwrites the row of one that crashed. Thread-safe. All
/// calls wait for the platform.
class EntryRegistry {
 public:
  /// `table` must outlive the registry.
  EntryRegistry(TableClient& table, EntryInfo self, std::string name);

  /// Writes this entry's row. Returns whether the platform confirmed it.
  bool Add();

  /// Removes this entry's row unless another incarnation has taken it over. Returns false when the
  /// row may still be there.
  bool Remove();

  /// Returns the entries other than this one.
  PlatformResult<std::vector<EntryInfo>> Others();

 private:
  TableClient& table;
  EntryInfo self;
  std::string name;
};

}  // namespace quetzalvale
