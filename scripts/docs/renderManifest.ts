import { Manifest } from '../../packages/protocol/src/manifest/index.ts'
import { describeRange, describeType, listFields } from './describeSchema.ts'
import { NOTICE, renderTable } from './renderTable.ts'

/**
 * Renders the reference page of the manifest.
 *
 * @returns The page as Markdown.
 *
 * @example
 * renderManifest().startsWith('# Manifest')
 */
export function renderManifest (): string {
  const rows = listFields(Manifest).map(({ path, schema, isRequired }) => [
    `\`${path}\``,
    describeType(schema),
    describeRange(schema),
    schema.default === undefined ? '-' : `\`${String(schema.default)}\``,
    isRequired ? 'yes' : 'no',
    // An identifier's description tells its characters, which the range shows; its title tells what it names.
    schema.title ?? schema.description ?? ''
  ])
  return [
    '# Manifest',
    '',
    NOTICE,
    '',
    'A manifest is a YAML or JSON document. `gypsumctl check <file>` checks one without a server, `gypsumctl schema` prints',
    'its JSON Schema. Unknown fields are rejected. Beyond the schema, ids are unique in their list and the team of a workload',
    'is declared in the same manifest. A required field that has a default may be left out; the default is filled in.',
    '`[]` stands for each item of a list.',
    '',
    ...renderTable([['path', 'type', 'range', 'default', 'required', 'meaning'], ...rows]),
    ''
  ].join('\n')
}
