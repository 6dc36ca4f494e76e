import { createHash } from 'node:crypto'
import type { ObjectStore } from '@gypsumspring/adapters'
import { done, Manifest, notDone, type Outcome } from '@gypsumspring/protocol'
import { Value } from '@sinclair/typebox/value'

/** Hashes the content of a manifest, independent of the order of its fields. */
export function hashManifest (manifest: Manifest): string {
  return createHash('sha256').update(toCanonicalJson(manifest)).digest('hex')
}

/** Stores a manifest under its hash and returns the hash. */
export async function putManifest (objects: ObjectStore, manifest: Manifest): Promise<Outcome<string>> {
  const hash = hashManifest(manifest)
  const stored = await objects.put(toObjectKey(hash), Buffer.from(toCanonicalJson(manifest)))
  return stored.map(() => hash)
}

/** Reads a manifest; `not-found` when it is absent or its content does not match its hash. */
export async function getManifest (objects: ObjectStore, hash: string): Promise<Outcome<Manifest>> {
  const outcome = await objects.get(toObjectKey(hash))
  return outcome.chain<never, Manifest>((bytes) => parseContent(hash, bytes) as never)
}

function parseContent (hash: string, bytes: Uint8Array | undefined): Outcome<Manifest> {
  if (bytes === undefined) return notDone('not-found', `manifest ${hash} is absent`)
  const content: unknown = JSON.parse(Buffer.from(bytes).toString())
  return Value.Check(Manifest, content) && hashManifest(content) === hash
    ? done(content)
    : notDone('not-found', `manifest ${hash} is damaged`)
}

function toObjectKey (hash: string): string {
  return `manifest/${hash}`
}

function toCanonicalJson (value: unknown): string {
  return JSON.stringify(value, (_key, nested: unknown) =>
    typeof nested === 'object' && nested !== null && !Array.isArray(nested)
      ? Object.fromEntries(Object.entries(nested).sort(([a], [b]) => a < b ? -1 : 1))
      : nested)
}
