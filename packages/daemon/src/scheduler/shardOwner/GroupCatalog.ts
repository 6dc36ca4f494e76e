import { isDeepStrictEqual } from 'node:util'
import { expandManifest, type GroupDefinition } from '@gypsumspring/core'
import type { Manifest } from '@gypsumspring/protocol'
import type { ShardConfiguration } from './options.ts'

interface ScopeGroups {
  manifest: Manifest
  cancelled: ReadonlySet<string>
  groups: GroupDefinition[]
}

const NO_CANCELLATIONS: ReadonlySet<string> = new Set()

/**
 * Caches the definitions of the groups that concern one shard. A scope is expanded into groups again only after it has
 * changed, since the configuration may change every other second and each change concerns only one scope.
 */
export class GroupCatalog {
  #scopes = new Map<string, ScopeGroups>()
  #failureDomains: string[] = []

  /**
   * Updates the definitions from a configuration.
   *
   * @param configuration - The configuration in force.
   * @param isHeld - Tells whether the shard holds a group, even when another shard is its home.
   * @returns Definitions by group id; unchanged ones are the same objects as in the previous call.
   */
  update (configuration: ShardConfiguration, isHeld: (id: string) => boolean): Map<string, GroupDefinition> {
    const { manifests, cancelled, failureDomains, isHome } = configuration
    const previous = failureDomains === this.#failureDomains ? this.#scopes : new Map<string, ScopeGroups>()
    this.#failureDomains = failureDomains
    this.#scopes = new Map()
    const groups = new Map<string, GroupDefinition>()
    for (const manifest of manifests) {
      const cancelledHere = cancelled.get(manifest.scope) ?? NO_CANCELLATIONS
      const known = previous.get(manifest.scope)
      const unchanged = known?.manifest === manifest && isDeepStrictEqual(known.cancelled, cancelledHere)
      const isRelevant = (group: Parameters<typeof isHome>[0]) => isHeld(group.id) || isHome(group)
      const expanded = unchanged
        ? known.groups
        : expandManifest(manifest, failureDomains, { cancelled: cancelledHere, isRelevant })
      this.#scopes.set(manifest.scope, { manifest, cancelled: cancelledHere, groups: expanded })
      for (const group of expanded) groups.set(group.id, group)
    }
    return groups
  }
}
