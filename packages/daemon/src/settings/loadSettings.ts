import { describeSchemaErrors, type SchemaViolation } from '@gypsumspring/protocol'
import { Value } from '@sinclair/typebox/value'
import { Left, Right, type Either } from 'purify-ts/Either'
import { ENVIRONMENT_PREFIX, environmentName, flagName, Settings, type SettingName } from './schema.ts'

export type SettingSource = 'flag' | 'environment' | 'default'

export interface LoadedSettings {
  settings: Settings
  sources: Record<SettingName, SettingSource>
}

/**
 * Merges flags, environment variables and defaults, in this order of precedence, and validates the result.
 *
 * @param flags - Parsed flags by setting name (camel case).
 * @param environment - Environment variables.
 * @returns The settings with the source of each, or all violations. Unknown flags and unknown variables that start with
 * `GYPSUMSPRING_` are violations, since a misspelt name would otherwise silently fall back to the default.
 *
 * @example
 * loadSettings({ role: 'entry', id: 'e1' }, process.env)
 */
export function loadSettings (
  flags: Record<string, unknown>, environment: Record<string, string | undefined>
): Either<SchemaViolation[], LoadedSettings> {
  const names = Object.keys(Settings.properties) as SettingName[]
  const unknown = [...findUnknownFlags(flags, names), ...findUnknownVariables(environment, names)]
  if (unknown.length > 0) return Left(unknown)
  const sources = {} as Record<SettingName, SettingSource>
  const merged: Record<string, unknown> = {}
  for (const name of names) {
    const variable = environment[environmentName(name)]
    sources[name] = flags[name] !== undefined ? 'flag' : variable !== undefined ? 'environment' : 'default'
    const given = flags[name] ?? variable
    if (given !== undefined) merged[name] = given
  }
  const candidate = Value.Default(Settings, Value.Convert(Settings, merged))
  const violations = describeSchemaErrors(Settings, candidate)
  return violations.length > 0
    ? Left(violations.map(withSettingName))
    : Right({ settings: candidate as Settings, sources })
}

function findUnknownFlags (flags: Record<string, unknown>, names: string[]): SchemaViolation[] {
  return Object.keys(flags).filter((name) => !names.includes(name)).map((name) => ({
    path: `--${flagName(name)}`, value: String(flags[name]), allowed: 'a flag listed by --help'
  }))
}

function findUnknownVariables (environment: Record<string, string | undefined>, names: string[]): SchemaViolation[] {
  const known = new Set(names.map(environmentName))
  return Object.keys(environment).filter((name) => name.startsWith(ENVIRONMENT_PREFIX) && !known.has(name))
    .map((name) => ({ path: name, value: String(environment[name]), allowed: 'a variable listed by --help' }))
}

function withSettingName (violation: SchemaViolation): SchemaViolation {
  const name = violation.path.slice(1).split('/')[0] ?? ''
  return { ...violation, path: `--${flagName(name)} (${environmentName(name)})` }
}
