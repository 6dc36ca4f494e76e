import type { Either } from 'purify-ts/Either'
import type { OperatorClient, Refusal } from '../operatorClient/index.ts'
import { exitCodes, type CommandResult } from '../output/index.ts'
import { readManifestFile } from './readManifestFile.ts'

/** Time between two questions whether a version is in force, in ms. */
const POLL_MS = 200

interface ApplyOptions {
  /** Version of the scope that the change is based on. Default: the current one. */
  expect?: number
  /** Longest wait until the version is in force everywhere, in ms. Default: 9,000. */
  waitMs?: number
}

/** Applies a manifest and waits until it is in force in every process that is known to live. */
export async function applyManifest (
  client: OperatorClient, file: string, options: ApplyOptions
): Promise<CommandResult> {
  const read = await readManifestFile(file)
  if (read.isLeft()) return read.extract() as Refusal
  const { text, manifest } = read.unsafeCoerce()
  const expected = options.expect ?? await readScopeVersion(client, manifest.scope)
  if (typeof expected !== 'number') return expected
  const applied = await client.apply(manifest.scope, text, expected)
  return await applied.caseOf({
    Left: async (refusal) => refusal,
    Right: async ({ version, scopeVersion, changed }) => {
      const line = `${manifest.scope} ${changed ? 'applied' : 'unchanged'}: scope version ${scopeVersion}, version ${version}`
      return withLine(line, await waitUntilInForce(client, version, options.waitMs ?? 9000))
    }
  })
}

/** Waits until a version is in force in every process that is known to live, and names those where it is not. */
export async function waitUntilInForce (
  client: OperatorClient, version: number, waitMs: number
): Promise<CommandResult> {
  const deadline = performance.now() + waitMs
  for (;;) {
    const answer = await client.readInForce(version)
    const isEverywhere = answer.map(({ inForceEverywhere }) => inForceEverywhere).orDefault(false)
    if (isEverywhere) return { code: exitCodes.ok, output: [`version ${version} is in force everywhere`] }
    if (performance.now() >= deadline) return describeMissing(version, answer)
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
}

function describeMissing (
  version: number, answer: Either<Refusal, { missing: Array<{ id: string, version: number }> }>
): CommandResult {
  return answer.caseOf({
    Left: (refusal) => ({ ...refusal, code: exitCodes.notYetInForce }),
    Right: ({ missing }) => ({
      code: exitCodes.notYetInForce,
      output: [],
      errors: [`version ${version} is accepted but not yet in force at ${missing.map(({ id, version: old }) => `${id} (${old})`).join(', ')}`]
    })
  })
}

async function readScopeVersion (client: OperatorClient, scope: string): Promise<number | Refusal> {
  const configuration = await client.readConfiguration()
  return configuration.caseOf<number | Refusal>({
    Left: (refusal) => refusal,
    Right: ({ index }) => index?.scopes[scope]?.version ?? 0
  })
}

function withLine (line: string, result: CommandResult): CommandResult {
  return { ...result, output: [line, ...result.output] }
}
