// A configuration as one daemon hands it to many.
//
// Most routes differ by their database and service alone, so what they share is written once: 3,250
// routes before 1,000 services take 80 KB, where the whole catalog as JSON took 750 KB.
//
// Owns: nothing. Invariant: what is decoded is what was encoded. Thread: any.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "model/catalog.h"

namespace valvekeel::host {

std::string EncodeConfigurationCopy(const model::Configuration& configuration);

/// @return nothing if the bytes are no configuration.
std::optional<model::Configuration> DecodeConfigurationCopy(std::string_view bytes);

/// Keeps the newest version encoded: a hub hands it to all daemons of its zone at once.
class ConfigurationCopyCache {
 public:
  const std::string& Of(const model::Configuration& configuration);

 private:
  std::uint64_t version_ = 0;
  std::string bytes_;
};

}  // namespace valvekeel::host
