// Encodes the catalog as JSON, so that one daemon can fetch a copy from another.
//
// Invariant: decoding an encoded copy yields an equal copy. No I/O; thread-safe.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "proxy/catalog_state.h"

namespace valvekeel::host {

/// @return the duration in microseconds, limited to 0 to bounded_json::MAX_DURATION. Throws for
/// other types.
common::Duration DurationFromJson(const nlohmann::json& value);

/// @return the number. Throws if it is negative or not finite.
double RateFromJson(const nlohmann::json& value);

/// Throws for an unknown value.
model::Consistency ConsistencyFromJson(const nlohmann::json& value);

/// Encodes a tenant; its keys are written as digests in hexadecimal.
nlohmann::json TenantToJson(const tenants::tenant& tenant);
tenants::tenant TenantFromJson(const nlohmann::json& value);

std::string EncodeCatalogCopy(const proxy::CatalogCopy& copy);

/// @return the copy, or nothing if the text is not a valid encoded copy.
std::optional<proxy::CatalogCopy> DecodeCatalogCopy(const std::string& text);

}  // namespace valvekeel::host
