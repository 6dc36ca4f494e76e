import { KindGuard, type TSchema } from '@sinclair/typebox'
import * as wire from '../../packages/adapters/src/wire/index.ts'
import { exitCodes } from '../../packages/cli/src/output/index.ts'
import { rpcMethods } from '../../packages/protocol/src/rpcMessages/index.ts'
import { describeConstraints, describeType, listFields } from './describeSchema.ts'
import { GENERATED_PAGE_NOTICE, renderTable } from './renderTable.ts'

/** Meanings of the exit codes. The type requires one for every exit code. */
const EXIT_CODE_MEANINGS: Record<keyof typeof exitCodes, string> = {
  ok: 'done; for a change: in force everywhere',
  usage: 'unknown command or missing argument; nothing was sent',
  invalidManifest: 'the manifest or an argument is not valid; nothing was changed',
  conflict: 'the scope has another version than the expected one; nothing was changed',
  notYetInForce: 'the change is accepted but was not seen in force everywhere within the wait; processes that lack it are named',
  unavailable: 'the entry or the store does not answer; nothing was changed',
  unknownOutcome: 'the change may have been made',
  notFound: 'no such task, workload, endpoint or runner'
}

/**
 * Renders the reference page of exit codes, RPC methods and HTTP bodies.
 *
 * @returns The page as Markdown.
 *
 * @example
 * renderInterfaces().startsWith('# Interfaces')
 */
export function renderInterfaces (): string {
  const codes = Object.entries(exitCodes).map(([name, code]) =>
    [String(code), `\`${name}\``, EXIT_CODE_MEANINGS[name as keyof typeof exitCodes]])
  const methods = Object.entries(rpcMethods).flatMap(([name, { params, result }]) => [
    '', `### ${name}`, '', ...renderFields('params', params), '', ...renderFields('result', result)
  ])
  const bodies = Object.entries(wire).flatMap(([name, schema]) =>
    KindGuard.IsSchema(schema) && listFields(schema).length > 0
      ? ['', `### ${name}`, '', ...renderFields('field', schema)]
      : [])
  return [
    '# Interfaces',
    '',
    GENERATED_PAGE_NOTICE,
    '',
    'The HTTP interface for callers and operators is described in [design.md](design.md), section 7, and its use by',
    'operators in [operators.md](operators.md). [adapters.md](adapters.md) describes the HTTP interfaces of the platform and',
    'of workers.',
    '',
    '## Exit codes of gypsumctl',
    '',
    ...renderTable([['code', 'name', 'meaning'], ...codes]),
    '',
    '## RPC methods between processes',
    '',
    'JSON-RPC 2.0 over TCP with one frame per line and at most 1 MiB per frame. In paths, `[]` stands for each item of a',
    'list and `<name>` for each name in a map. [reference-manifest.md](reference-manifest.md) describes',
    '`gypsumspring/manifest`.',
    ...methods,
    '',
    '## Bodies of the HTTP interfaces to the platform and to workers',
    '',
    'The calls that carry these bodies are described in [adapters.md](adapters.md).',
    ...bodies,
    ''
  ].join('\n')
}

function renderFields (kind: string, schema: TSchema): string[] {
  const rows = listFields(schema).map(({ path, schema: field, isRequired }) =>
    [`\`${path}\``, describeType(field), describeConstraints(field), isRequired ? 'yes' : 'no'])
  return renderTable([[kind, 'type', 'range', 'required'], ...rows])
}
