// JSON form of the catalog that daemons hand to each other.
//
// Owns: nothing. Invariant: what Encode wrote, Decode reads back the same. Thread: any.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "proxy/catalog_state.h"

namespace valvekeel::host {

/// A tenant as it stands in copies: its keys as digests.
nlohmann::json TenantToJson(const tenants::tenant& tenant);
tenants::tenant TenantFromJson(const nlohmann::json& value);

std::string EncodeCatalogCopy(const proxy::CatalogCopy& copy);

/// @return the copy, or nothing if the text is not one.
std::optional<proxy::CatalogCopy> DecodeCatalogCopy(const std::string& text);

}  // namespace valvekeel::host
