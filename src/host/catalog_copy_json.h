// Encodes the catalog as JSON, so that one daemon can fetch a copy from another.
//
// Invariant: decoding an encoded copy yields an equal copy. No I/O; thread-safe.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "proxy/catalog_state.h"

namespace valvekeel::host {

/// Encodes a tenant; its keys are written as digests in hexadecimal.
nlohmann::json TenantToJson(const tenants::tenant& tenant);
tenants::tenant TenantFromJson(const nlohmann::json& value);

std::string EncodeCatalogCopy(const proxy::CatalogCopy& copy);

/// @return the copy, or nothing if the text is not a valid encoded copy.
std::optional<proxy::CatalogCopy> DecodeCatalogCopy(const std::string& text);

}  // namespace valvekeel::host
