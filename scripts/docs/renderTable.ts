/** First lines of each generated page. */
export const NOTICE = '<!-- Generated from the schemas by `npm run docs`; change the schema, not this page. -->'

/**
 * Renders a Markdown table.
 *
 * @param rows - Cells of each row; the first row is the heading.
 * @returns The lines of the table.
 *
 * @example
 * renderTable([['name'], ['a']]) // => ['| name |', '| --- |', '| a |']
 */
export function renderTable (rows: string[][]): string[] {
  const [heading = [], ...body] = rows.map((row) => row.map((cell) => cell.replaceAll('|', '\\|')))
  return [heading, heading.map(() => '---'), ...body].map((row) => `| ${row.join(' | ')} |`)
}
