import type { ObjectStore } from '@gypsumspring/adapters'
import {
  done, type Configuration, type ConfigurationIndex, type Manifest, type Outcome
} from '@gypsumspring/protocol'
import { getManifest } from '../../configuration/index.ts'

/**
 * Loads the manifests that an index refers to. Those in the configuration in force are not read from the store.
 *
 * @param objects - Object store.
 * @param index - Index read from the table.
 * @param current - Configuration in force in this process, if any.
 * @returns The manifests by scope, or the failure of the store.
 *
 * @example
 * await loadManifests(platform.objects, index, configuration.current)
 */
export async function loadManifests (
  objects: ObjectStore, index: ConfigurationIndex, current: Configuration | undefined
): Promise<Outcome<Record<string, Manifest>>> {
  const manifests: Record<string, Manifest> = {}
  for (const [scope, { hash }] of Object.entries(index.scopes)) {
    const inForce = current?.index.scopes[scope]?.hash === hash ? current.manifests[scope] : undefined
    if (inForce !== undefined) {
      manifests[scope] = inForce
      continue
    }
    const outcome = await getManifest(objects, hash)
    if (outcome.isLeft()) return outcome.map(() => manifests)
    manifests[scope] = outcome.unsafeCoerce()
  }
  return done(manifests)
}
