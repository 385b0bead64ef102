// JSON form of the catalog that daemons hand to each other.
//
// Owns: nothing. Invariant: what Encode wrote, Decode reads back the same. Thread: any.
#pragma once

#include <optional>
#include <string>

#include "proxy/catalog_state.h"

namespace valvekeel::host {

std::string EncodeCatalogCopy(const proxy::CatalogCopy& copy);

/// @return the copy, or nothing if the text is not one.
std::optional<proxy::CatalogCopy> DecodeCatalogCopy(const std::string& text);

}  // namespace valvekeel::host
