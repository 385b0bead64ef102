// Applies the allowed regions of a new configuration.

#include "proxy/proxy.h"

namespace valvekeel::proxy {

void Proxy::ApplyRegions(common::Instant now) {
  const model::Configuration& configuration = catalog_.Configuration();
  if (!settings_.mechanisms.allowed_regions) {
    return;
  }
  const bool was_active = regions_.active();
  const bool changed = regions_.set_configuration(configuration);
  if (!was_active && !regions_.active()) {
    return;
  }
  if (changed) {
    outbox_.Log("regions_changed", {{"version", std::to_string(configuration.version)},
                                    {"limited", regions_.active() ? "true" : "false"}});
  }
  // Needed even if no regions changed: a key may belong to another tenant now.
  session_relay_.RegionsChanged(now);
}

}  // namespace valvekeel::proxy
