#include "runtime/announce.h"

#include <cstdio>
#include <fstream>

namespace valvekeel::runtime {

bool AnnounceAddresses(const std::string& path, const nlohmann::json& addresses) {
  if (path.empty()) {
    return true;
  }
  const std::string partial = path + ".partial";
  {
    std::ofstream file(partial);
    file << addresses.dump() << "\n";
    if (!file.flush()) {
      return false;
    }
  }
  return std::rename(partial.c_str(), path.c_str()) == 0;
}

}  // namespace valvekeel::runtime
