import type { Manifest } from '@gypsumspring/protocol'

type Named = { id: string }

/**
 * Lists what applying a manifest would change.
 *
 * @param current - Manifest in force, or undefined for a new scope.
 * @param next - Manifest to apply.
 * @returns One line for each thing that is added (`+`), removed (`-`) or changed (`~`); empty when nothing differs.
 *
 * @example
 * diffManifests(undefined, manifest) // => ['+ team balcao', ...]
 */
export function diffManifests (current: Manifest | undefined, next: Manifest): string[] {
  const weights = [current?.packingWeight, next.packingWeight]
  return [
    ...weights[0] === weights[1] ? [] : [`~ packingWeight: ${weights[0] ?? 'none'} -> ${weights[1] ?? 'none'}`],
    ...diffNamed('team', current?.teams ?? [], next.teams),
    ...diffNamed('endpoint', current?.endpoints ?? [], next.endpoints ?? []),
    ...diffNamed('workload', current?.workloads ?? [], next.workloads ?? [])
  ]
}

function diffNamed (kind: string, current: Named[], next: Named[]): string[] {
  const before = new Map(current.map((item) => [item.id, item]))
  const after = new Map(next.map((item) => [item.id, item]))
  const removed = current.filter(({ id }) => !after.has(id)).map(({ id }) => `- ${kind} ${id}`)
  const kept = next.flatMap((item) => {
    const old = before.get(item.id)
    return old === undefined ? [`+ ${kind} ${item.id}`] : diffFields(`${kind} ${item.id}`, old, item)
  })
  return [...removed, ...kept]
}

function diffFields (label: string, before: object, after: object): string[] {
  const old = new Map(Object.entries(before))
  const fields = new Map(Object.entries(after))
  return [...new Set([...old.keys(), ...fields.keys()])]
    .filter((name) => JSON.stringify(old.get(name)) !== JSON.stringify(fields.get(name)))
    .map((name) => `~ ${label} ${name}: ${shorten(old.get(name))} -> ${shorten(fields.get(name))}`)
}

function shorten (value: unknown): string {
  const text = JSON.stringify(value) ?? 'none'
  return text.length > 60 ? `${text.slice(0, 60)}...` : text
}
