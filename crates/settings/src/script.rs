//! Runs a settings script within bounds and collects the records that it calls for.

use crate::reader::{Problem, Problems, RecordCall};
use crate::records;
use crate::site::Site;
use serde_json::Value as Json;
use starlark::codemap::FileSpanRef;
use starlark::collections::SmallMap;
use starlark::environment::{FrozenModule, Globals, GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::{BeforeStmtFunc, BeforeStmtFuncDyn, Evaluator, FileLoader};
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::{none::NoneType, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Component, Path, PathBuf};

/// Function calls and turns of loops that a script may take: a second or two, where a real one needs hundreds
/// and one that makes 150,000 tenants and 4,500 path groups by loops needs 155,000.
const TICKS: u64 = 400_000;
const HEAP: usize = 64 << 20;
/// Room for a list of 150,000 tenants written out, 2.6 MB, or 4,500 path groups, 0.9 MB.
const FILE_BYTES: u64 = 8 << 20;
const LOADS: usize = 32;
/// Calls of record functions, most of them path groups.
const RECORDS: usize = 16_384;

/// What one run may take.
#[derive(Clone, Copy)]
struct Bounds {
    ticks: u64,
    heap_bytes: usize,
    file_bytes: u64,
    records: usize,
}

const SETTINGS_BOUNDS: Bounds = Bounds {
    ticks: TICKS,
    heap_bytes: HEAP,
    file_bytes: FILE_BYTES,
    records: RECORDS,
};
/// A configuration is compiled by one process and may have every service and route on a line of its own. Tenants
/// have a form in bulk, and as many lines again are left for those that have not.
const CONFIGURATION_BOUNDS: Bounds = Bounds {
    ticks: 2_000_000,
    heap_bytes: 256 << 20,
    file_bytes: 8 << 20,
    records: 200_000,
};

/// Values handed to the script from outside, which it reads with `given(name, otherwise)`.
pub type Given = BTreeMap<String, String>;

/// What one run has collected so far, and what was handed to it.
struct Sheet {
    rows: Vec<RecordCall>,
    given: Given,
    most_rows: usize,
}

thread_local! {
    /// The sheet of the run on this thread: the evaluator's own place for it would ask for `unsafe` code.
    static SHEET: RefCell<Option<Sheet>> = const { RefCell::new(None) };
}

fn with_sheet<T>(work: impl FnOnce(&mut Sheet) -> anyhow::Result<T>) -> anyhow::Result<T> {
    SHEET.with_borrow_mut(|sheet| match sheet {
        Some(sheet) => work(sheet),
        None => Err(anyhow::anyhow!("called outside a settings script")),
    })
}

fn add<'v>(
    kind: &'static str,
    fields: SmallMap<String, Value<'v>>,
    eval: &Evaluator<'v, '_, '_>,
) -> anyhow::Result<NoneType> {
    let at = eval.call_stack_top_location();
    let (file, line) = at.map_or((String::new(), 0), |span| {
        (
            span.filename().to_string(),
            span.resolve_span().begin.line + 1,
        )
    });
    let read = |(name, value): (String, Value<'v>)| {
        let json = value.to_json_value();
        (
            name,
            json.unwrap_or_else(|_| Json::from(format!("<{}>", value.get_type()))),
        )
    };
    let fields = fields.into_iter().map(read).collect();
    with_sheet(|sheet| {
        anyhow::ensure!(
            sheet.rows.len() < sheet.most_rows,
            "{kind}(...) is record {}, and a script may call for {} at most; \
             give several paths to one record (paths = [...]) where its rules are the same",
            sheet.rows.len() + 1,
            sheet.most_rows,
        );
        sheet.rows.push(RecordCall {
            kind,
            file,
            line,
            fields,
        });
        Ok(NoneType)
    })
}

macro_rules! record_functions {
    ($module:ident: $($name:ident),*) => {
        #[starlark_module]
        fn $module(builder: &mut GlobalsBuilder) {
            $(fn $name<'v>(
                #[starlark(kwargs)] fields: SmallMap<String, Value<'v>>,
                eval: &mut Evaluator<'v, '_, '_>,
            ) -> anyhow::Result<NoneType> {
                add(stringify!($name), fields, eval)
            })*
        }
    };
}

record_functions!(
    settings_functions: sidecar, path_group, headers, limits, pods, exposure, votes, nodes, desk, trace, fellowship,
    takeover, configuration
);
record_functions!(configuration_functions: service, route, tenant, tenants);

#[starlark_module]
fn input_functions(builder: &mut GlobalsBuilder) {
    /// What was handed in from outside under this name, else the second argument.
    fn given(
        #[starlark(require = pos)] name: &str,
        #[starlark(require = pos)] otherwise: &str,
    ) -> anyhow::Result<String> {
        with_sheet(|sheet| {
            Ok(sheet
                .given
                .get(name)
                .cloned()
                .unwrap_or_else(|| otherwise.to_string()))
        })
    }
}

/// Reads files beside the script, each once.
struct Beside<'a> {
    folder: PathBuf,
    globals: &'a Globals,
    bounds: Bounds,
    done: RefCell<BTreeMap<String, FrozenModule>>,
    open: RefCell<Vec<String>>,
}

impl FileLoader for Beside<'_> {
    fn load(&self, path: &str) -> starlark::Result<FrozenModule> {
        let refuse = |why: String| {
            Err(starlark::Error::new_other(anyhow::anyhow!(
                "load of {path:?}: {why}"
            )))
        };
        if let Some(module) = self.done.borrow().get(path) {
            return Ok(module.clone());
        }
        let plain = Path::new(path)
            .components()
            .all(|part| matches!(part, Component::Normal(_)));
        if !plain {
            return refuse(
                "expected a file beside the script, with no .. and no leading /".to_string(),
            );
        }
        if self.open.borrow().iter().any(|name| name == path) {
            return refuse("it loads itself, by way of others".to_string());
        }
        if self.open.borrow().len() + self.done.borrow().len() >= LOADS {
            return refuse(format!("more than {LOADS} files"));
        }
        let file = self.folder.join(path);
        let text = match read(&file, self.bounds.file_bytes) {
            Ok(text) => text,
            Err(error) => return refuse(error.to_string()),
        };
        self.open.borrow_mut().push(path.to_string());
        let module = run(&file.display().to_string(), text, self.globals, self);
        self.open.borrow_mut().pop();
        let module = module?;
        self.done
            .borrow_mut()
            .insert(path.to_string(), module.clone());
        Ok(module)
    }
}

/// The evaluator looks at its memory once in a thousand steps; by then a text that doubles with each would
/// have taken all there is.
struct Frugal {
    heap_bytes: usize,
}

impl<'e> BeforeStmtFuncDyn<'e> for Frugal {
    fn call<'v>(
        &mut self,
        _at: FileSpanRef,
        _continued: bool,
        eval: &mut Evaluator<'v, '_, 'e>,
    ) -> starlark::Result<()> {
        match eval.heap().allocated_bytes() {
            bytes if bytes <= self.heap_bytes => Ok(()),
            bytes => {
                let most = self.heap_bytes;
                Err(starlark::Error::new_other(anyhow::anyhow!(
                    "{bytes} bytes of values, {most} at most"
                )))
            }
        }
    }
}

/// Why a file of a script cannot be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("cannot be read ({0})")]
    Io(#[from] io::Error),
    #[error("{found} bytes, expected {most} at most")]
    TooLong { found: u64, most: u64 },
}

fn read(file: &Path, most: u64) -> Result<String, ReadError> {
    let found = std::fs::metadata(file)?.len();
    if found > most {
        return Err(ReadError::TooLong { found, most });
    }
    Ok(std::fs::read_to_string(file)?)
}

fn run(
    name: &str,
    text: String,
    globals: &Globals,
    loader: &Beside,
) -> starlark::Result<FrozenModule> {
    let dialect = Dialect {
        enable_top_level_stmt: true,
        enable_f_strings: true,
        ..Dialect::Standard
    };
    let ast = AstModule::parse(name, text, &dialect)?;
    Module::with_temp_heap(|module| {
        {
            let mut eval = Evaluator::new(&module);
            let Bounds {
                ticks, heap_bytes, ..
            } = loader.bounds;
            let bounded = eval
                .set_max_tick_count(ticks)
                .and_then(|()| eval.set_max_heap_size(heap_bytes));
            bounded
                .and_then(|()| eval.set_max_callstack_size(64))
                .map_err(starlark::Error::new_other)?;
            eval.set_loader(loader);
            eval.before_stmt_for_dap(BeforeStmtFunc::from_dyn(Box::new(Frugal { heap_bytes })));
            eval.eval_module(ast, globals)?;
        }
        module
            .freeze()
            .map_err(|e| starlark::Error::new_other(anyhow::anyhow!("{e:?}")))
    })
}

/// Runs the script in `file` and checks what it calls for.
///
/// # Errors
/// Every mistake found, in order. A script that does not run to its end (syntax, a name not known, past a
/// bound of steps or memory) yields that one with its place, and no others.
pub fn load(file: &Path, given: &Given) -> Result<Site, Problems> {
    let globals = globals().with(settings_functions).build();
    let rows = collect(file, given, &globals, SETTINGS_BOUNDS)?;
    let mut problems = Vec::new();
    let site = records::read_site(&file.display().to_string(), &rows, &mut problems);
    problems.sort_by_key(|problem| problem.line);
    if !problems.is_empty() {
        return Err(Problems(problems));
    }
    Ok(site)
}

/// Runs the script of a configuration that changes while sidecars run and returns the calls of its record
/// functions: `service`, `route`, `tenant`, `tenants`. Those of the settings are known here too, so that the
/// caller can refuse them with their place.
///
/// # Errors
/// The script does not run to its end.
pub fn run_configuration_script(file: &Path, given: &Given) -> Result<Vec<RecordCall>, Problems> {
    let globals = globals()
        .with(settings_functions)
        .with(configuration_functions)
        .build();
    collect(file, given, &globals, CONFIGURATION_BOUNDS)
}

fn globals() -> GlobalsBuilder {
    GlobalsBuilder::extended_by(&[LibraryExtension::Print, LibraryExtension::StructType])
        .with(input_functions)
}

/// Runs a script and returns the calls of its record functions, in order.
fn collect(
    file: &Path,
    given: &Given,
    globals: &Globals,
    bounds: Bounds,
) -> Result<Vec<RecordCall>, Problems> {
    let shown = file.display().to_string();
    let text = read(file, bounds.file_bytes)
        .map_err(|error| script_problem(&shown, 0, error.to_string(), "a readable file"))?;
    let beside = Beside {
        folder: file.parent().unwrap_or(Path::new("")).to_path_buf(),
        globals,
        bounds,
        done: RefCell::default(),
        open: RefCell::default(),
    };
    SHEET.set(Some(Sheet {
        rows: Vec::new(),
        given: given.clone(),
        most_rows: bounds.records,
    }));
    // A value past what the interpreter can hold at all makes it panic.
    let ran = catch_unwind(AssertUnwindSafe(|| run(&shown, text, globals, &beside)));
    let rows = SHEET.take().map_or_else(Vec::new, |sheet| sheet.rows);
    match ran {
        Ok(Ok(_)) => Ok(rows),
        Ok(Err(error)) => Err(failed_run(&shown, &error)),
        Err(_) => {
            let found = "a value too large for the interpreter".to_string();
            Err(script_problem(&shown, 0, found, RUNNING_SCRIPT))
        }
    }
}

const RUNNING_SCRIPT: &str = "a script that runs";

/// The problem of a script that did not run to its end, in the file and at the line where it stopped.
fn failed_run(file: &str, error: &starlark::Error) -> Problems {
    let span = error.span();
    let file = span.map_or(file, |span| span.filename());
    let line = span.map_or(0, |span| span.resolve_span().begin.line + 1);
    let found = error.without_diagnostic().to_string();
    script_problem(file, line, found, RUNNING_SCRIPT)
}

fn script_problem(file: &str, line: usize, found: String, expected: &str) -> Problems {
    Problems(vec![Problem {
        file: file.to_string(),
        line,
        field: "script".to_string(),
        found,
        expected: expected.to_string(),
    }])
}
