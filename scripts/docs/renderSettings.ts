import { environmentName, flagName, Settings } from '../../packages/daemon/src/settings/index.ts'
import { describeConstraints, describeType } from './describeSchema.ts'
import { GENERATED_PAGE_NOTICE, renderTable } from './renderTable.ts'

/**
 * Renders the reference page of the daemon's settings.
 *
 * @returns The page as Markdown.
 *
 * @example
 * renderSettings().startsWith('# Settings')
 */
export function renderSettings (): string {
  const rows = Object.entries(Settings.properties).map(([name, schema]) => [
    `\`--${flagName(name)}\``,
    `\`${environmentName(name)}\``,
    [describeType(schema), describeConstraints(schema)].filter((part) => part !== '').join(', '),
    schema.default === undefined ? 'required' : `\`${String(schema.default)}\``,
    unitOf(name),
    schema.description ?? ''
  ])
  return [
    '# Settings of gypsumspringd',
    '',
    GENERATED_PAGE_NOTICE,
    '',
    'A flag overrides an environment variable, which overrides the default. Unknown flags, and unknown variables that start',
    'with `GYPSUMSPRING_`, are rejected. `gypsumspringd check` prints the effective settings with the source of each and',
    'starts nothing. When settings are invalid, the process exits with code 78 and writes one line per violation to standard',
    'error.',
    '',
    ...renderTable([['flag', 'variable', 'type and range', 'default', 'unit', 'meaning'], ...rows]),
    ''
  ].join('\n')
}

/** Returns the unit of a setting; the names of durations end in `Ms`. */
function unitOf (name: string): string {
  return name.endsWith('Ms') ? 'ms' : '-'
}
