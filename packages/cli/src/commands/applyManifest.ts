import type { Either } from 'purify-ts/Either'
import type { CommandFailure, OperatorClient } from '../operatorClient/index.ts'
import { exitCodes, type CommandResult } from '../output/index.ts'
import { readManifestFile } from './readManifestFile.ts'

/** Default of `--wait-ms`: how long to wait until a change is in force in every process, in ms. */
export const DEFAULT_WAIT_MS = 9000

/** Interval between checks whether a version is in force, in ms. */
const POLL_INTERVAL_MS = 200

interface ApplyOptions {
  /** Scope version that the change is based on. Default: the current one. */
  expect?: number
  /** How long to wait until the version is in force everywhere, in ms. Default: `DEFAULT_WAIT_MS`. */
  waitMs?: number
}

/** Applies a manifest and waits until it is in force in every process known to be alive. */
export async function applyManifest (
  client: OperatorClient, file: string, options: ApplyOptions
): Promise<CommandResult> {
  const manifestFile = await readManifestFile(file)
  if (manifestFile.isLeft()) return manifestFile.extract() as CommandFailure
  const { text, manifest } = manifestFile.unsafeCoerce()
  const expected = options.expect ?? await readScopeVersion(client, manifest.scope)
  if (typeof expected !== 'number') return expected
  const applied = await client.apply(manifest.scope, text, expected)
  return await applied.caseOf({
    Left: async (refusal) => refusal,
    Right: async ({ version, scopeVersion, changed }) => {
      const line = `${manifest.scope} ${changed ? 'applied' : 'unchanged'}: scope version ${scopeVersion}, version ${version}`
      return prependLine(line, await waitUntilInForce(client, version, options.waitMs ?? DEFAULT_WAIT_MS))
    }
  })
}

/** Waits until a version is in force in every process known to be alive; on timeout, lists those that lack it. */
export async function waitUntilInForce (
  client: OperatorClient, version: number, waitMs: number
): Promise<CommandResult> {
  const deadline = performance.now() + waitMs
  for (;;) {
    const response = await client.readInForce(version)
    const isInForceEverywhere = response.map(({ inForceEverywhere }) => inForceEverywhere).orDefault(false)
    if (isInForceEverywhere) return { code: exitCodes.ok, output: [`version ${version} is in force everywhere`] }
    if (performance.now() >= deadline) return reportNotYetInForce(version, response)
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}

function reportNotYetInForce (
  version: number, response: Either<CommandFailure, { missing: Array<{ id: string, version: number }> }>
): CommandResult {
  return response.caseOf({
    Left: (refusal) => ({ ...refusal, code: exitCodes.notYetInForce }),
    Right: ({ missing }) => ({
      code: exitCodes.notYetInForce,
      output: [],
      errors: [`version ${version} is accepted but not yet in force at ${missing.map(({ id, version: old }) => `${id} (${old})`).join(', ')}`]
    })
  })
}

async function readScopeVersion (client: OperatorClient, scope: string): Promise<number | CommandFailure> {
  const configuration = await client.readConfiguration()
  return configuration.caseOf<number | CommandFailure>({
    Left: (refusal) => refusal,
    Right: ({ index }) => index?.scopes[scope]?.version ?? 0
  })
}

function prependLine (line: string, result: CommandResult): CommandResult {
  return { ...result, output: [line, ...result.output] }
}
