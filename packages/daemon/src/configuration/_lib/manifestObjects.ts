import { createHash } from 'node:crypto'
import type { ObjectStore } from '@gypsumspring/adapters'
import { done, Manifest, manifestObjectKey, notDone, type Outcome } from '@gypsumspring/protocol'
import { Value } from '@sinclair/typebox/value'

/** Stores a manifest under the hash of its bytes and returns the hash. Idempotent. */
export async function putManifest (objects: ObjectStore, manifest: Manifest): Promise<Outcome<string>> {
  const bytes = Buffer.from(JSON.stringify(manifest))
  const hash = hashBytes(bytes)
  const stored = await objects.put(manifestObjectKey(hash), bytes)
  return stored.map(() => hash)
}

/** Reads a manifest. Fails with `not-found` if it is missing or its bytes do not match the hash. */
export async function getManifest (objects: ObjectStore, hash: string): Promise<Outcome<Manifest>> {
  const outcome = await objects.get(manifestObjectKey(hash))
  return outcome.chain((bytes) => parseManifest(hash, bytes))
}

function parseManifest (hash: string, bytes: Uint8Array | undefined): Outcome<Manifest> {
  if (bytes === undefined) return notDone('not-found', `manifest ${hash} is missing`)
  if (hashBytes(bytes) !== hash) return notDone('not-found', `manifest ${hash} is corrupt: its content does not match the hash`)
  const content: unknown = JSON.parse(Buffer.from(bytes).toString())
  return Value.Check(Manifest, content) ? done(content) : notDone('invalid', `manifest ${hash} violates its schema`)
}

function hashBytes (bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex')
}
